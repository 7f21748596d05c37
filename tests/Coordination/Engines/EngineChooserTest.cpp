#include "Coordination/Engines/EngineChooser.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::PromptPart;
using state::TargetRecord;

namespace {

const SteadyTime Now{Seconds{1000}};

struct Fixture {
  explicit Fixture(int Engines) {
    for (int I = 0; I < Engines; ++I) {
      TargetRecord Record;
      Record.Id_ = "e" + std::to_string(I);
      Records_.push_back(Record);
    }
    for (const TargetRecord &Record : Records_)
      Engines_.push_back(&Record);
  }
  std::string choose(const EngineChooser &Chooser,
                     const std::vector<PromptPart> &Prompt,
                     const std::set<std::string> &Excluded = {}) {
    const TargetRecord *Found =
        Chooser.choose(Engines_, Prompt, Excluded, Health_, Now);
    return Found ? Found->Id_ : "";
  }

  std::vector<TargetRecord> Records_;
  std::vector<const TargetRecord *> Engines_;
  TargetHealth Health_;
};

std::vector<PromptPart> prompt(const std::string &Catalogue,
                               const std::string &Own) {
  return {{"common", 500}, {Catalogue, 4800}, {Own, 100}};
}

} // namespace

// Pattern: long prompts that share parts, over several hosts. Guards against
// reading a shared part at another engine for each host and request.
TEST_CASE("engine chooser: hosts agree on the engine of a shared part") {
  Fixture F(12);
  EngineChooser One;
  EngineChooser Other;
  for (int I = 0; I < 50; ++I) {
    std::string Catalogue = "c" + std::to_string(I);
    std::string Chosen = F.choose(One, prompt(Catalogue, "x"));
    CHECK(F.choose(Other, prompt(Catalogue, "y")) == Chosen);
  }
}

// Guards against all shared parts gathering at a few engines.
TEST_CASE("engine chooser: shared parts spread over the engines") {
  Fixture F(12);
  EngineChooser Chooser;
  std::map<std::string, int> Count;
  for (int I = 0; I < 1200; ++I)
    ++Count[F.choose(Chooser, prompt("c" + std::to_string(I), "x"))];
  CHECK(Count.size() == 12);
  for (const auto &[Engine, Times] : Count)
    CHECK(Times < 200);
}

// Pattern: one key gets much of the traffic. Guards against one engine with
// all of it while others are idle.
TEST_CASE("engine chooser: a busy engine loses prompts to others") {
  Fixture F(12);
  EngineChooser Chooser;
  std::string First = F.choose(Chooser, prompt("hot", "x"));
  for (int I = 0; I < 20; ++I)
    F.Health_.begin(First);
  std::string Second = F.choose(Chooser, prompt("hot", "y"));
  CHECK(Second != First);
  // The second engine has the part from now on and is used again.
  Chooser.onSent(Second, prompt("hot", "y"), Now);
  CHECK(F.choose(Chooser, prompt("hot", "z")) == Second);
}

// Guards against an engine that broke the request being chosen again while
// another is there, and against refusing when only such engines are left.
TEST_CASE("engine chooser: excluded engines are the last resort") {
  Fixture F(2);
  EngineChooser Chooser;
  std::string First = F.choose(Chooser, prompt("c", "x"));
  std::string Second = F.choose(Chooser, prompt("c", "x"), {First});
  CHECK(Second != First);
  CHECK_FALSE(F.choose(Chooser, prompt("c", "x"), {First, Second}).empty());
  Fixture None(0);
  CHECK(None.choose(Chooser, prompt("c", "x")).empty());
}
