#include "State/ServiceDocument.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace amaranth::state;

namespace {

std::vector<ServiceDocument> readDeployment(const std::string &Deployment) {
  std::vector<ServiceDocument> Documents;
  std::filesystem::path Folder =
      std::filesystem::path(AMARANTH_SOURCE_DIR) / "config" / Deployment;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    std::ostringstream Text;
    Text << std::ifstream(Entry.path()).rdbuf();
    DocumentReadResult Reading = readServiceDocument(Text.str());
    for (const DocumentFault &Fault : Reading.Faults_)
      UNSCOPED_INFO(toString(Entry.path().string(), Fault));
    REQUIRE(Reading.Document_);
    CHECK(Reading.Document_->Name_ + ".toml" == Entry.path().filename());
    Documents.push_back(std::move(*Reading.Document_));
  }
  return Documents;
}

} // namespace

// Guards against example documents that the daemon rejects or that do not match
// the targets of their deployment.
TEST_CASE("the documents of each deployment are valid and agree") {
  struct DeploymentCase {
    std::string Deployment_;
    std::set<std::string> Services_;
    std::size_t DataCentres_;
    std::map<std::string, long> Targets_; ///< Number of targets by name prefix.
  };
  auto Expected = GENERATE(values<DeploymentCase>({
      {"casita-taller",
       {"guides", "questions", "tags", "shop-orders", "wood-inventory",
        "shipping", "bench-scheduling"},
       4,
       {{"model-", 12},
        {"shop-order-", 4},
        {"wood-inventory-", 4},
        {"shipping-", 5},
        {"bench-scheduling-", 5}}},
      {"mnimi-kartes",
       {"verses", "greetings", "tone-labels", "calendar", "florist-bookings",
        "print-queue", "legacy-bridge", "cards"},
       3,
       {{"model-", 18},
        {"order-calendar-", 3},
        {"florist-", 5},
        {"print-queue-", 5},
        {"legacy-bridge-", 5}}},
  }));
  CAPTURE(Expected.Deployment_);
  std::map<std::string, std::string> Addresses;
  std::set<std::string> Services, DataCentres, Accounts;
  for (const ServiceDocument &Document : readDeployment(Expected.Deployment_)) {
    Services.insert(Document.Name_);
    for (const Target &DocumentTarget : Document.Targets_) {
      DataCentres.insert(DocumentTarget.DataCentre_);
      auto FirstUse =
          Addresses.emplace(DocumentTarget.Name_, DocumentTarget.Address_)
              .first;
      CHECK(FirstUse->second == DocumentTarget.Address_);
    }
    for (const ClientAccount &Account : Document.Accounts_)
      Accounts.insert(Account.Name_ + Account.KeyDigest_);
  }
  CHECK(Services == Expected.Services_);
  CHECK(DataCentres.size() == Expected.DataCentres_);
  CHECK(Accounts.size() == 5);
  std::map<std::string, long> Counts;
  for (const auto &[Name, Address] : Addresses)
    ++Counts[Name.substr(0, Name.rfind('-') + 1)];
  for (const auto &[Prefix, Count] : Expected.Targets_)
    CHECK(Counts[Prefix] == Count);
  std::set<std::string> DistinctAddresses;
  for (const auto &[Name, Address] : Addresses)
    CHECK(DistinctAddresses.insert(Address).second);
}
