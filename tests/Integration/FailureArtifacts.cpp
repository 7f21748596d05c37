#include "Integration/FailureArtifacts.h"

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <vector>

namespace amaranth::integration {

namespace {

std::mutex ArtifactPathsMutex;
std::vector<std::string> ArtifactPaths;

/// Prints or removes the artifacts at the end of each test case. Also ignores
/// SIGPIPE in the test process, because the HTTP library does so only in
/// processes with a server.
class ArtifactListener final : public Catch::TestEventListenerBase {
public:
  using TestEventListenerBase::TestEventListenerBase;

  void testRunStarting(const Catch::TestRunInfo &) override {
    std::signal(SIGPIPE, SIG_IGN);
  }

  void testCaseEnded(const Catch::TestCaseStats &Stats) override {
    bool Failed = Stats.totals.assertions.failed > 0;
    std::lock_guard Lock(ArtifactPathsMutex);
    for (const std::string &Path : ArtifactPaths) {
      std::error_code Ignored;
      if (Failed)
        std::cerr << "test failed, file kept: " << Path << '\n';
      else
        std::filesystem::remove(Path, Ignored);
    }
    ArtifactPaths.clear();
  }
};

CATCH_REGISTER_LISTENER(ArtifactListener)

} // namespace

void addFailureArtifact(const std::string &Path) {
  std::lock_guard Lock(ArtifactPathsMutex);
  ArtifactPaths.push_back(Path);
}

} // namespace amaranth::integration
