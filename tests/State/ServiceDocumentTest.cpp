#include "State/ServiceDocument.h"

#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::state;

namespace {

const std::string PipelineText = R"(name = "guides"
deadline_ms = 2500
allow_volatile = true

[objective]
attainment = 0.99
short_p99_ms = 300

[[target]]
name = "m1"
address = "127.0.0.1:9001"
data_centre = "north"
checks_fencing = true
reports_load = false

[[target]]
name = "m2"
address = "[::1]:9002"
data_centre = "south"

[[stage]]
name = "embed"
kind = "encode"
model = "embed-small"
targets = ["m1"]

[[stage]]
name = "find"
kind = "retrieve"
targets = ["m1", "m2"]
top_k = 8

[[stage]]
name = "write"
kind = "generate"
model = "writer/7b"
targets = ["m1", "m2"]

[[account]]
name = "shop"
key_digest = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
requests_per_second = 20
weight = 2.5
)";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t Position = Text.find(Old);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

/// Requires that \p Text has exactly one fault and returns it.
DocumentFault readSingleFault(const std::string &Text) {
  DocumentReadResult Reading = readServiceDocument(Text);
  CHECK_FALSE(Reading.Document_);
  for (const DocumentFault &Fault : Reading.Faults_)
    UNSCOPED_INFO(toString("document", Fault));
  REQUIRE(Reading.Faults_.size() == 1);
  return Reading.Faults_[0];
}

} // namespace

// Guards against a key that is accepted but ignored or read into another field.
TEST_CASE("every key of a pipeline document is read") {
  DocumentReadResult Reading = readServiceDocument(PipelineText);
  REQUIRE(Reading.Document_);
  CHECK(Reading.Faults_.empty());
  const ServiceDocument &Document = *Reading.Document_;
  CHECK(Document.Name_ == "guides");
  CHECK(Document.Deadline_ == Milliseconds{2500});
  CHECK(Document.AllowVolatile_);
  CHECK(Document.isPipeline());
  CHECK(Document.Objective_.Attainment_ == 0.99);
  CHECK(Document.Objective_.ShortP99_ == Milliseconds{300});
  REQUIRE(Document.Targets_.size() == 2);
  CHECK(Document.Targets_[0].ChecksFencing_);
  CHECK_FALSE(Document.Targets_[0].ReportsLoad_);
  CHECK(Document.Targets_[1].Address_ == "[::1]:9002");
  CHECK(Document.Targets_[1].DataCentre_ == "south");
  REQUIRE(Document.Stages_.size() == 3);
  CHECK(Document.Stages_[1].Kind_ == StageKind::Retrieve);
  CHECK(Document.Stages_[1].TopK_ == 8);
  CHECK(Document.Stages_[2].Model_ == "writer/7b");
  CHECK(Document.Stages_[2].Targets_ == std::vector<std::string>{"m1", "m2"});
  REQUIRE(Document.Accounts_.size() == 1);
  CHECK(Document.Accounts_[0].KeyDigest_ == std::string(64, 'a'));
  CHECK(Document.Accounts_[0].RequestsPerSecond_ == 20);
  CHECK(Document.Accounts_[0].Weight_ == 2.5);
}

// Guards against a mistyped key that is replaced by its default, and against a
// fault that is reported at the wrong line or key.
TEST_CASE("each kind of fault is found at its line and key") {
  struct FaultCase {
    std::string Old_, New_, Key_;
    int Line_;
  };
  auto [Old, New, Key, Line] = GENERATE(values<FaultCase>({
      {"name = \"guides\"\n", "\n", "name", 1},
      {"\"guides\"", "\"gui des\"", "name", 1},
      {"\"guides\"", "7", "name", 1},
      {"2500", "0", "deadline_ms", 2},
      {"2500", "2.5", "deadline_ms", 2},
      {"true", "1", "allow_volatile", 3},
      {"deadline_ms", "\ndeadline", "\"deadline\"", 3},
      {"0.99", "1", "objective.attainment", 6},
      {"0.99", "nan", "objective.attainment", 6},
      {"127.0.0.1:9001", "localhost:9001", "target[0].address", 11},
      {"127.0.0.1:9001", "127.0.0.1:65536", "target[0].address", 11},
      {"127.0.0.1:9001", "[::1]:9002", "target[1].address", 18},
      {"kind = \"retrieve\"", "kind = \"search\"", "stage[1].kind", 29},
      {"kind = \"generate\"", "kind = \"encode\"", "stage[2].kind", 35},
      {"kind = \"encode\"", "kind = \"generate\"", "stage[1].kind", 29},
      {"model = \"writer/7b\"", "", "stage[2].model", 33},
      {"[\"m1\", \"m2\"]", "[\"m1\",\n\"m3\"]", "stage[1].targets[1]", 31},
      {"[\"m1\", \"m2\"]", "[\"m1\", \"m1\"]", "stage[1].targets[1]", 30},
      {"[\"m1\"]", "[]", "stage[0].targets", 25},
      {"top_k = 8", "top_k = 0", "stage[1].top_k", 31},
      {"\"find\"", "\"embed\"", "stage[1].name", 28},
      {"\"AAAA", "\"AA", "account[0].key_digest", 41},
      {"\"AAAA", "\"AAAx", "account[0].key_digest", 41},
      {"weight = 2.5", "weight = -1", "account[0].weight", 43},
      {"[objective]", "[[call]]\nname = \"c\"\ntargets = [\"m1\"]\n[objective]",
       "call", 5},
      {"[objective]", "[objective", "", 5},
      // toml++ asserts that a header starts with a key.
      {"[objective]", "[!objective]", "", 5},
  }));
  CAPTURE(Old, New);
  DocumentFault Fault = readSingleFault(replaced(PipelineText, Old, New));
  CHECK(Fault.Key_ == Key);
  CHECK(Fault.Line_ == Line);
  CHECK_FALSE(Fault.Found_.empty());
  CHECK_FALSE(Fault.Allowed_.empty());
}

// Guards against reading that stops at the first fault, so that an operator has
// to run the check once for each fault.
TEST_CASE("all faults of a document are reported at once") {
  std::string Text = replaced(PipelineText, "2500", "\"soon\"");
  Text = replaced(Text, "\"retrieve\"", "\"search\"");
  Text = replaced(Text, "weight", "wait");
  DocumentReadResult Reading = readServiceDocument(Text);
  CHECK_FALSE(Reading.Document_);
  CHECK(Reading.Faults_.size() == 3);
}

// Guards against printing a bearer key that was entered instead of its digest.
TEST_CASE("a fault does not show what was given as a key digest") {
  DocumentFault Fault =
      readSingleFault(replaced(PipelineText, "\"AAAA", "\"bearer-key-AAAA"));
  CHECK(Fault.Found_.find("bearer-key") == std::string::npos);
}

// Guards against a document that is too large for a value of the key-value
// service.
TEST_CASE("a document too large to store is refused") {
  std::string Text = PipelineText + "#" + std::string(500000, '"');
  DocumentFault Fault = readSingleFault(Text);
  CHECK(Fault.Found_.find("bytes") != std::string::npos);
}

// Guards against finding an account by the key of another account or by no key.
TEST_CASE("an account is found by its own key digest only") {
  ServiceDocument Document;
  for (const char *Name : {"a", "b", "c"}) {
    ClientAccount Account;
    Account.Name_ = Name;
    Account.KeyDigest_ = sha256Hex(Name);
    Document.Accounts_.push_back(Account);
  }
  REQUIRE(Document.findAccountByDigest(sha256Hex("b")));
  CHECK(Document.findAccountByDigest(sha256Hex("b"))->Name_ == "b");
  CHECK_FALSE(Document.findAccountByDigest(sha256Hex("d")));
  CHECK_FALSE(Document.findAccountByDigest(""));
}
