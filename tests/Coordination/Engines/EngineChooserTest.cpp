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
    const TargetRecord *Found = Chooser.choose(Engines_, query(Prompt),
                                               Excluded, Health_, Memory_, Now);
    return Found ? Found->Id_ : "";
  }

  std::vector<TargetRecord> Records_;
  std::vector<const TargetRecord *> Engines_;
  TargetHealth Health_;
  EngineMemory Memory_;
  std::uint64_t MemoryTokens_ = 0;
  std::map<std::string, std::uint64_t> InputBytes_;

private:
  EngineQuery query(const std::vector<PromptPart> &Prompt) const {
    return {Prompt, {8000, 0}, MemoryTokens_, InputBytes_};
  }
};

std::vector<PromptPart> prompt(const std::string &Catalogue,
                               const std::string &LastPart) {
  return {{"common", 500}, {Catalogue, 4800}, {LastPart, 100}};
}

} // namespace

// Pattern: long prompts that share parts, on several hosts. Guards against
// computing a shared part at a different engine for each host and request.
TEST_CASE("engine chooser: hosts agree on the engine of a shared part") {
  Fixture F(12);
  EngineChooser FirstHost;
  EngineChooser SecondHost;
  for (int I = 0; I < 50; ++I) {
    std::string Catalogue = "c" + std::to_string(I);
    std::string Chosen = F.choose(FirstHost, prompt(Catalogue, "x"));
    CHECK(F.choose(SecondHost, prompt(Catalogue, "y")) == Chosen);
  }
}

// Guards against assigning most shared parts to a few engines.
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

// Pattern: many prompts share one part. Guards against sending them all to one
// engine while others are idle.
TEST_CASE("engine chooser: a busy engine loses prompts to others") {
  Fixture F(12);
  EngineChooser Chooser;
  std::string First = F.choose(Chooser, prompt("hot", "x"));
  for (int I = 0; I < 20; ++I)
    F.Health_.begin(First);
  std::string Second = F.choose(Chooser, prompt("hot", "y"));
  CHECK(Second != First);
  // The second engine now caches the part and is used again.
  Chooser.onPromptSent(Second, prompt("hot", "y"), Now);
  CHECK(F.choose(Chooser, prompt("hot", "z")) == Second);
}

// Guards against choosing an engine again that failed the request while another
// is available, and against choosing none when all have failed.
TEST_CASE("engine chooser: excluded engines are the last resort") {
  Fixture F(2);
  EngineChooser Chooser;
  std::string First = F.choose(Chooser, prompt("c", "x"));
  std::string Second = F.choose(Chooser, prompt("c", "x"), {First});
  CHECK(Second != First);
  CHECK_FALSE(F.choose(Chooser, prompt("c", "x"), {First, Second}).empty());
  Fixture WithoutEngines(0);
  CHECK(WithoutEngines.choose(Chooser, prompt("c", "x")).empty());
}

// Guards against taking every prompt, or none, for a large one.
TEST_CASE("engine chooser: large prompts are those above the average") {
  EngineChooser Chooser;
  CHECK(Chooser.isLarge({{"a", 10}}));
  for (int I = 0; I < 400; ++I)
    Chooser.onPromptSent("e0", {{"a", I % 4 == 0 ? 12000U : 800U}}, Now);
  CHECK(Chooser.isLarge({{"a", 7000}, {"b", 5000}}));
  CHECK_FALSE(Chooser.isLarge({{"a", 800}}));
}

// Load: prompts of which an engine holds three. Guards against engines that
// crash because they hold more than their memory, and against a choice of the
// preferred engine that has no room.
TEST_CASE("engine chooser: an engine without room gets no prompt") {
  Fixture F(2);
  EngineChooser Chooser;
  F.MemoryTokens_ = 24000;
  std::string First = F.choose(Chooser, prompt("c", "x"));
  std::string Second = First == "e0" ? "e1" : "e0";
  F.Memory_.begin(First, {17000, 0}, F.MemoryTokens_);
  CHECK(F.choose(Chooser, prompt("c", "x")) == Second);
  F.Memory_.onPeerReport("h", {{Second, 17000, 2}}, Now);
  CHECK(F.choose(Chooser, prompt("c", "x")).empty());
}

// Load: other hosts send many prompts to the engine that is preferred here.
// Guards against a queue at an engine that no single host sees.
TEST_CASE("engine chooser: requests of peers count") {
  Fixture F(2);
  EngineChooser Chooser;
  std::string First = F.choose(Chooser, prompt("c", "x"));
  F.Memory_.onPeerReport("h", {{First, 1000, 20}}, Now);
  CHECK(F.choose(Chooser, prompt("c", "x")) != First);
}

// Load: results of the last stage that are all in one data centre. Guards
// against reading them from another one without need, and against a longer wait
// for the sake of it.
TEST_CASE("engine chooser: the place of the inputs decides between equals") {
  Fixture F(2);
  EngineChooser Chooser;
  F.Records_[0].DataCentre_ = "a";
  F.Records_[1].DataCentre_ = "b";
  F.InputBytes_ = {{"b", 60000}};
  for (int I = 0; I < 20; ++I)
    CHECK(F.choose(Chooser, {{"x" + std::to_string(I), 0}}) == "e1");
  F.Health_.begin("e1");
  CHECK(F.choose(Chooser, {{"x", 0}}) == "e0");
}
