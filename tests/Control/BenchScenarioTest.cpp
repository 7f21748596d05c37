#include "Control/BenchScenario.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace amaranth;
using namespace amaranth::control;

namespace {

const std::string Valid = R"(
name = "small"
deployment = "demo"
seed = 5
[[account]]
name = "a"
weight = 3
[[account]]
name = "b"
[[phase]]
name = "calm"
duration_ms = 1000
rate = 20
[[phase]]
name = "peak"
duration_ms = 10000
load = 3.0
[[request]]
name = "question"
service = "questions"
min_words = 2
max_words = 8
stream = true
[[request]]
name = "order"
service = "orders"
call = "place"
order = true
accounts = ["b"]
phases = ["peak"]
[[goal]]
name = "goodput"
measure = "goodput_share"
phase = "peak"
at_least = 0.9
)";

bool hasFault(const BenchScenarioReading &Reading, const std::string &Key) {
  for (const state::DocumentFault &Fault : Reading.Faults_)
    if (Fault.Key_.find(Key) != std::string::npos)
      return true;
  return false;
}

} // namespace

// Guards against a scenario that differs from its file.
TEST_CASE("A scenario has the values of its file") {
  BenchScenarioReading Reading = readBenchScenario(Valid);
  REQUIRE(Reading.Scenario_);
  const BenchScenario &Scenario = *Reading.Scenario_;
  CHECK(Scenario.Seed_ == 5);
  CHECK(Scenario.Accounts_.at(0).Weight_ == 3);
  CHECK(Scenario.Phases_.at(0).Rate_ == 20);
  CHECK(Scenario.Phases_.at(1).Load_ == 3);
  CHECK(Scenario.Phases_.at(1).Duration_ == Seconds{10});
  CHECK(Scenario.Kinds_.at(0).Stream_);
  CHECK(Scenario.Kinds_.at(0).Words_.Maximum_ == 8);
  CHECK(Scenario.Kinds_.at(1).IsOrder_);
  CHECK(Scenario.Kinds_.at(1).Phases_ == std::vector<std::string>{"peak"});
  CHECK(Scenario.Goals_.at(0).AtLeast_ == 0.9);
  CHECK(Scenario.needsCapacity());
}

// Guards against a misspelt key or name that silently changes the load.
TEST_CASE("Every fault of a scenario is reported") {
  std::string Text = Valid + R"(
[[request]]
name = "question"
service = "questions"
min_words = 9
max_words = 3
accounts = ["c"]
phases = ["night"]
strem = true
[[phase]]
name = "both"
rate = 1
load = 1
)";
  BenchScenarioReading Reading = readBenchScenario(Text);
  CHECK_FALSE(Reading.Scenario_);
  for (const char *Key : {"max_words", "accounts", "phases", "strem", "rate"}) {
    INFO(Key);
    CHECK(hasFault(Reading, Key));
  }
  CHECK(hasFault(Reading, "request"));
}

// Guards against scenario files that the parser no longer accepts.
TEST_CASE("The scenarios of the repository are valid") {
  std::size_t Files = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(
           AMARANTH_SOURCE_DIR "/config/scenarios")) {
    INFO(Entry.path().string());
    std::ifstream File(Entry.path());
    std::string Text(std::istreambuf_iterator<char>(File), {});
    BenchScenarioReading Reading = readBenchScenario(Text);
    for (const state::DocumentFault &Fault : Reading.Faults_)
      UNSCOPED_INFO(toString(Entry.path().string(), Fault));
    CHECK(Reading.Scenario_);
    ++Files;
  }
  CHECK(Files > 0);
}
