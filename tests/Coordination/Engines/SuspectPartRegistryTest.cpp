#include "Coordination/Engines/SuspectPartRegistry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Start{Seconds{1000}};
const std::vector<std::string> SoundPrompt{"guide", "subject"};
const std::vector<std::string> DeadlyPrompt{"guide", "subject", "deadly"};

/// Registries of a fleet whose reports reach all hosts at once.
struct Fleet {
  explicit Fleet(std::size_t Hosts) {
    for (std::size_t I = 0; I < Hosts; ++I)
      addHost();
  }

  /// The host loses what it knows, and learns from another one.
  void restart(std::size_t Host, std::size_t Informant) {
    Hosts_[Host] = std::make_unique<SuspectPartRegistry>(*Links_[Host]);
    Hosts_[Host]->merge(Hosts_[Informant]->suspects(Now_), Now_);
  }

  void addHost() {
    Links_.push_back(std::make_unique<Link>(*this, Links_.size()));
    Hosts_.push_back(std::make_unique<SuspectPartRegistry>(*Links_.back()));
  }

  struct Link final : SuspectPartPeers {
    Link(Fleet &AllHosts, std::size_t Host)
        : AllHosts_(AllHosts), Host_(Host) {}
    void reportParts(const protocol::SuspectParts &Report) override {
      for (std::size_t I = 0; I < AllHosts_.Hosts_.size(); ++I)
        if (I != Host_)
          AllHosts_.Hosts_[I]->merge(Report, AllHosts_.Now_);
    }
    bool triesPart(const std::string &) const override {
      return Host_ == AllHosts_.TryingHost_;
    }

    Fleet &AllHosts_;
    std::size_t Host_;
  };

  /// \p Engine crashes under a request of \p Host, after a pause.
  void crash(std::size_t Host, const std::vector<std::string> &Parts,
             const std::string &Engine) {
    Now_ += Milliseconds{400};
    Hosts_[Host]->onCrash(Parts, Engine, Now_);
  }
  bool isRefused(std::size_t Host, const std::vector<std::string> &Parts) {
    return Hosts_[Host]->findRefused(Parts, Now_) != nullptr;
  }

  SteadyTime Now_ = Start;
  std::size_t TryingHost_ = 0; ///< The host elected for trials.
  std::vector<std::unique_ptr<Link>> Links_;
  std::vector<std::unique_ptr<SuspectPartRegistry>> Hosts_;
};

/// Replays callers of one kind, some of whose prompts have a deadly part, at
/// engines that restart after a crash.
struct DeadlyPartDay {
  static constexpr Milliseconds PrefillTime{250};
  static constexpr Milliseconds AnswerTime{1200};
  static constexpr Milliseconds RestartTime{3000};
  static constexpr int MaxAttempts = 2;
  static constexpr Milliseconds Contact{3000}; ///< contact_ms

  DeadlyPartDay(std::size_t Hosts, int Engines, double DeadlyShare,
                unsigned Seed)
      : Fleet_(Hosts), UpAt_(Engines, Start), DeadlyShare_(DeadlyShare),
        Random_(Seed) {}

  struct Request {
    std::vector<std::string> Parts_;
    std::size_t Host_ = 0;
    int Engine_ = -1;
    int Attempts_ = 0;
    SteadyTime FirstEventAt_{};
    bool HasBegun_ = false;
  };

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }

  void send(Request Sent) {
    bool IsDeadly = Sent.Parts_.back() == "deadly";
    std::vector<int> Up;
    for (std::size_t I = 0; I < UpAt_.size(); ++I)
      if (UpAt_[I] <= Fleet_.Now_)
        Up.push_back(static_cast<int>(I));
    bool IsFirstSound = !IsDeadly && Sent.Attempts_ == 0;
    bool IsJudged = Crashes_ >= 5 && Fleet_.Now_ - FifthCrashAt_ > 2 * Contact;
    SoundJudged_ += IsFirstSound && IsJudged;
    if (Fleet_.isRefused(Sent.Host_, Sent.Parts_)) {
      SoundRefused_ += IsFirstSound && IsJudged;
      return;
    }
    if (Up.empty() || Sent.Attempts_ == MaxAttempts)
      return;
    Sent.Engine_ = Up[static_cast<std::size_t>(draw() * 0.999 *
                                               static_cast<double>(Up.size()))];
    Sent.HasBegun_ = false;
    Sent.FirstEventAt_ = Fleet_.Now_ + PrefillTime;
    if (IsDeadly && Crashes_ >= 5 && Fleet_.Now_ - FifthCrashAt_ > Contact)
      ++LateDeadly_;
    ++Sent.Attempts_;
    Fleet_.Hosts_[Sent.Host_]->onSent(Sent.Parts_, Fleet_.Now_);
    Running_.push_back(std::move(Sent));
  }

  void crash(int Engine) {
    if (++Crashes_ == 5)
      FifthCrashAt_ = Fleet_.Now_;
    UpAt_[static_cast<std::size_t>(Engine)] = Fleet_.Now_ + RestartTime;
    std::string Name = std::to_string(Engine) + "-" + std::to_string(Crashes_);
    std::vector<Request> Lost;
    std::erase_if(Running_, [&](const Request &Candidate) {
      if (Candidate.Engine_ != Engine)
        return false;
      Lost.push_back(Candidate);
      return true;
    });
    for (const Request &Item : Lost)
      if (!Item.HasBegun_)
        Fleet_.Hosts_[Item.Host_]->onCrash(Item.Parts_, Name, Fleet_.Now_);
    for (Request &Item : Lost)
      send(std::move(Item));
  }

  void step() {
    Fleet_.Now_ += Milliseconds{10};
    for (std::size_t I = 0; I < Running_.size(); ++I) {
      Request &Item = Running_[I];
      if (Item.HasBegun_ || Item.FirstEventAt_ > Fleet_.Now_)
        continue;
      if (Item.Parts_.back() == "deadly")
        return crash(Item.Engine_);
      Item.HasBegun_ = true;
    }
    std::erase_if(Running_, [&](const Request &Item) {
      if (!Item.HasBegun_ || Fleet_.Now_ - Item.FirstEventAt_ < AnswerTime)
        return false;
      Fleet_.Hosts_[Item.Host_]->onAnswered(Item.Parts_, Fleet_.Now_);
      ++Answered_;
      return true;
    });
  }

  void run(double RequestsPerSecond, Milliseconds Length,
           Milliseconds DeadlyFrom) {
    for (SteadyTime End = Fleet_.Now_ + Length; Fleet_.Now_ < End;) {
      if (draw() < RequestsPerSecond / 100) {
        Request Sent;
        Sent.Host_ = Random_() % Fleet_.Hosts_.size();
        Sent.Parts_ = {"guide", "subject-" + std::to_string(Random_() % 40)};
        if (Fleet_.Now_ - Start >= DeadlyFrom && draw() < DeadlyShare_) {
          Sent.Parts_.push_back("deadly");
        }
        send(std::move(Sent));
      }
      step();
    }
  }

  Fleet Fleet_;
  std::vector<SteadyTime> UpAt_; ///< By engine.
  double DeadlyShare_;
  std::mt19937 Random_;
  std::vector<Request> Running_;
  int Crashes_ = 0;
  SteadyTime FifthCrashAt_{};
  int LateDeadly_ = 0;
  int SoundJudged_ = 0;
  int SoundRefused_ = 0;
  int Answered_ = 0;
};

} // namespace

// Rule BUDGET. Guards against requests that differ in all but one part and
// crash one engine after the other, at different hosts.
TEST_CASE("suspect parts: a part that crashes engines is refused on all hosts, "
          "and the parts beside it are not") {
  Fleet F(3);
  F.Hosts_[1]->onAnswered(SoundPrompt, F.Now_);
  F.crash(0, DeadlyPrompt, "e1");
  F.crash(1, DeadlyPrompt, "e2");
  CHECK_FALSE(F.isRefused(2, DeadlyPrompt));
  F.crash(2, DeadlyPrompt, "e3");
  for (std::size_t Host = 0; Host < 3; ++Host)
    CHECK(F.isRefused(Host, DeadlyPrompt));
  // A crash with another cause. Its report tells the other hosts that the
  // parts have been answered.
  F.crash(1, SoundPrompt, "e4");
  for (std::size_t Host = 0; Host < 3; ++Host)
    CHECK_FALSE(F.isRefused(Host, SoundPrompt));
}

// Rule LOST. Guards against refusing a part that ran beside the deadly one only
// at times, before any answer with it is known.
TEST_CASE("suspect parts: a part with fewer crashes than the cause is served") {
  Fleet F(2);
  std::vector<std::string> Bystander{"bystander"};
  for (std::string Engine : {"e1", "e2", "e3"}) {
    F.crash(0, {"deadly"}, Engine);
    F.Hosts_[1]->onCrash(Bystander, Engine, F.Now_);
  }
  F.crash(0, {"deadly"}, "e4");
  CHECK_FALSE(F.isRefused(0, Bystander));
  CHECK_FALSE(F.isRefused(1, Bystander));
  CHECK(F.isRefused(1, {"deadly"}));
}

// Rule LOST. Guards against parts that are refused because many connections
// broke at the same moment.
TEST_CASE("suspect parts: crashes at the same moment count once") {
  Fleet F(2);
  for (int Engine = 0; Engine < 12; ++Engine)
    F.Hosts_[Engine % 2]->onCrash(SoundPrompt, std::to_string(Engine), F.Now_);
  CHECK_FALSE(F.isRefused(0, SoundPrompt));
  CHECK_FALSE(F.isRefused(1, SoundPrompt));
}

// Guards against counting one crash several times because several requests of
// several hosts report it, and against missing that an engine with the same
// name crashes again.
TEST_CASE("suspect parts: reports of one crash count once") {
  Fleet F(4);
  for (std::size_t Host = 0; Host < 4; ++Host) {
    F.Now_ += Milliseconds{90};
    F.Hosts_[Host]->onCrash({"p"}, "e1", F.Now_);
  }
  CHECK_FALSE(F.isRefused(0, {"p"}));
  F.Now_ += Seconds{3};
  F.crash(0, {"p"}, "e1");
  F.Now_ += Seconds{3};
  F.crash(0, {"p"}, "e1");
  CHECK(F.isRefused(3, {"p"}));
}

// Rules BUDGET, LOST. Guards against a part that stays refused by mistake, and
// against trials whose number grows with time or with the fleet.
TEST_CASE("suspect parts: single trials clear a part or end") {
  Fleet F(3);
  for (std::string Engine : {"e1", "e2", "e3"})
    F.crash(0, {"p"}, Engine);
  F.Now_ += Seconds{6};
  CHECK(F.isRefused(1, {"p"}));
  REQUIRE_FALSE(F.isRefused(0, {"p"}));
  F.Hosts_[0]->onSent({"p"}, F.Now_);
  CHECK(F.isRefused(0, {"p"}));
  SECTION("answered") {
    F.Hosts_[0]->onAnswered({"p"}, F.Now_);
    for (std::size_t Host = 0; Host < 3; ++Host)
      CHECK_FALSE(F.isRefused(Host, {"p"}));
  }
  SECTION("crashed again") {
    int Trials = 1;
    for (int Second = 0; Second < 300; ++Second) {
      F.Now_ += Seconds{1};
      for (std::size_t Host = 0; Host < 3; ++Host) {
        if (F.isRefused(Host, {"p"}))
          continue;
        ++Trials;
        F.Hosts_[Host]->onSent({"p"}, F.Now_);
        F.Hosts_[Host]->onCrash({"p"}, "t" + std::to_string(Second), F.Now_);
      }
    }
    CHECK(Trials == 2);
  }
}

// Pattern: hosts restart in turn while a deadly part is refused. Rule BUDGET.
// Guards against trials that start again on each host that takes them over.
TEST_CASE("suspect parts: trials are counted for the fleet") {
  constexpr std::size_t Hosts = 3;
  Fleet F(Hosts);
  for (std::string Engine : {"e1", "e2", "e3"})
    F.crash(0, {"p"}, Engine);
  bool TrialsCrash = GENERATE(true, false);
  CAPTURE(TrialsCrash);
  int Trials = 0;
  for (int Second = 0; Second < 300; ++Second) {
    F.Now_ += Seconds{1};
    if (Second % 8 == 7) {
      std::size_t Successor = (F.TryingHost_ + 1) % Hosts;
      F.restart(F.TryingHost_, Successor);
      F.TryingHost_ = Successor;
    }
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      if (F.isRefused(Host, {"p"}))
        continue;
      ++Trials;
      F.Hosts_[Host]->onSent({"p"}, F.Now_);
      if (TrialsCrash)
        F.Hosts_[Host]->onCrash({"p"}, "t" + std::to_string(Second), F.Now_);
    }
  }
  CHECK(Trials == 2);
}

// Rule LOST. Guards against trials of a sound part that fail because the
// requests tried have the deadly part too.
TEST_CASE("suspect parts: a request with two suspect parts is no trial") {
  Fleet F(1);
  for (std::string Engine : {"e1", "e2", "e3"})
    F.crash(0, {"sound", "deadly"}, Engine);
  F.Now_ += Seconds{6};
  CHECK(F.isRefused(0, {"sound", "deadly"}));
  CHECK_FALSE(F.isRefused(0, {"sound"}));
}

// Rule BUDGET. Guards against a host that starts, or was cut off, while a part
// is refused, and sends it to engines.
TEST_CASE("suspect parts: a new host learns what the others refuse") {
  Fleet F(2);
  for (std::string Engine : {"e1", "e2", "e3"})
    F.crash(0, {"p"}, Engine);
  F.addHost();
  CHECK_FALSE(F.isRefused(2, {"p"}));
  F.Hosts_[2]->merge(F.Hosts_[1]->suspects(F.Now_), F.Now_);
  CHECK(F.isRefused(2, {"p"}));
  F.Hosts_[2]->onAnswered({"p"}, F.Now_);
  CHECK(F.Hosts_[1]->suspects(F.Now_).Parts_.empty());
}

// Guards against memory that grows with the parts seen, and against forgetting
// a refused part because many others are seen.
TEST_CASE("suspect parts: the number of parts is bounded") {
  Fleet F(1);
  for (std::string Engine : {"e1", "e2", "e3"})
    F.crash(0, {"p"}, Engine);
  for (int I = 0; I < 20000; ++I)
    F.Hosts_[0]->onAnswered({"q" + std::to_string(I)}, F.Now_);
  CHECK(F.isRefused(0, {"p"}));
}

// Pattern: a share of the callers of one kind send prompts with a part that
// crashes engines, from every host. Rules BUDGET (at most three such requests
// reach engines later than contact_ms after the fifth crash) and LOST (from
// twice that time on, half of the sound requests of the kind are served).
TEST_CASE("suspect parts: a day of prompts with a deadly part") {
  double Share = GENERATE(0.02, 0.05, 0.3, 0.6);
  std::size_t Hosts = GENERATE(1, 5, 32);
  unsigned Seed = GENERATE(range(1U, 11U));
  Milliseconds DeadlyFrom = GENERATE(Milliseconds{0}, Milliseconds{4000});
  CAPTURE(Share, Hosts, Seed, DeadlyFrom.count());
  double Load = Hosts == 32 ? 45 : 6;
  DeadlyPartDay Day(Hosts, Hosts == 32 ? 90 : 12, Share, Seed);
  Day.run(Load, Seconds{60}, DeadlyFrom);
  CHECK(Day.LateDeadly_ <= 3);
  CHECK(2 * Day.SoundRefused_ <= Day.SoundJudged_);
}
