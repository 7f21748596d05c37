// Random schedules of faults against whole fleets, judged by what ran.
#include "OnceFixture.h"

#include "Coordination/Journal.h"
#include "Support/Log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::MemberStatus;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

constexpr int Hosts = 3;
constexpr int Parallel = 6;

/// A naive implementation on which the checker must find violations.
enum class Flaw {
  None,
  DispatchBeforeAppend,
  UnconditionalAppend,
  UnconditionalClaim,
};

/// What the checker found and how much it has seen.
struct Findings {
  std::vector<std::string> Violations_;
  int Completed_ = 0;
  int NotRun_ = 0;
  int Unknown_ = 0;
};

/// Pauses the threads of one process while it is frozen.
class Freezer {
public:
  void set(bool Frozen) {
    std::lock_guard Lock(Mutex_);
    Frozen_ = Frozen;
    Changed_.notify_all();
  }
  void pass() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, EventLimit, [this] { return !Frozen_; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Frozen_ = false;
};

/// A process with its faults.
struct Process {
  Node *Node_ = nullptr;
  std::shared_ptr<Freezer> Freezer_ = std::make_shared<Freezer>();
  /// Percent of store and peer calls with a fault; 100 is an outage.
  std::shared_ptr<std::atomic<int>> FaultRate_ =
      std::make_shared<std::atomic<int>>(0);
};

struct Answer {
  std::string Key_;
  std::string Body_;
  bool Ticketed_ = false;
  bool IsLookUp_ = false; ///< Has no body of its own.
  int RunsBefore_ = 0;
  RequestOutcome Outcome_;
};

std::uint64_t next(std::mt19937_64 &Random, std::uint64_t Bound) {
  return Random() % Bound;
}

/// One random schedule over one fleet.
class Schedule {
public:
  Schedule(std::uint64_t Seed, Flaw Kind)
      : Random_(Seed), Seed_(Seed), Flaw_(Kind) {
    ShortLived_ = next(Random_, 4) == 0;
    for (int I = 0; I < Hosts; ++I)
      startProcess(std::string(1, static_cast<char>('a' + I)));
    for (Process &Started : Processes_)
      Started.Node_->Session_->waitOpen(EventLimit);
  }

  Findings run() {
    int Steps = 20 + static_cast<int>(next(Random_, 40));
    for (int I = 0; I < Steps; ++I) {
      step();
      // Some pauses are as long as the timeouts, most are much shorter.
      std::uint64_t Longest = next(Random_, 10) == 0 ? 20000 : 400;
      for (std::uint64_t Turn = next(Random_, Longest); Turn > 0; --Turn)
        std::this_thread::yield();
    }
    heal();
    collect();
    askAgain();
    heal();
    collect();
    return check();
  }

private:
  void startProcess(const std::string &Name) {
    Process New;
    auto Settings = Fleet::settings();
    if (ShortLived_) {
      Settings.TicketLifetime_ = Milliseconds(40);
      Settings.Registry_.Retention_ = Milliseconds(40);
    }
    // Clocks of hosts differ by up to an hour.
    Milliseconds Offset(static_cast<std::int64_t>(next(Random_, 7200000)));
    Settings.TicketClock_ = [Offset] {
      auto Now = SteadyClock::now().time_since_epoch();
      return Offset + std::chrono::duration_cast<Milliseconds>(Now);
    };
    Settings.BeforeDispatch_ = [Freezer = New.Freezer_] { Freezer->pass(); };
    Settings.TestDispatchBeforeAppend_ = Flaw_ == Flaw::DispatchBeforeAppend;
    New.Node_ = &All_.start(Name, std::move(Settings));
    if (Flaw_ == Flaw::UnconditionalAppend)
      New.Node_->Store_.setUnconditional("/amaranth/journal/");
    if (Flaw_ == Flaw::UnconditionalClaim)
      New.Node_->Store_.setUnconditional("/amaranth/claims/");
    setHooks(New);
    Processes_.push_back(New);
  }

  void setHooks(Process &Of) {
    auto Chance = std::make_shared<std::mt19937_64>(Random_());
    auto Mutex = std::make_shared<std::mutex>();
    auto Draw = [Chance, Mutex, Rate = Of.FaultRate_] {
      int Percent = *Rate;
      if (Percent >= 100)
        return Fault::Unavailable;
      std::lock_guard Lock(*Mutex);
      if (static_cast<int>(next(*Chance, 100)) >= Percent)
        return Fault::None;
      return static_cast<Fault>(1 + next(*Chance, 4));
    };
    Node *Self = Of.Node_;
    auto Freezer = Of.Freezer_;
    Self->Store_.setAfterCommit([Freezer] { Freezer->pass(); });
    Self->Store_.setHook([=](const protocol::Transaction *) {
      Freezer->pass();
      return Self->Killed_ ? Fault::Unavailable : Draw();
    });
    Self->PeerHook_ = [=] {
      Freezer->pass();
      return Draw();
    };
  }

  Process &pick() { return Processes_[next(Random_, Processes_.size())]; }

  std::string hostName() {
    return std::string(1, static_cast<char>('a' + next(Random_, Hosts)));
  }

  void step() {
    switch (next(Random_, 17)) {
    case 0:
      kill(pick());
      break;
    case 1:
      All_.Members_.setStatus(hostName(), MemberStatus::Dead);
      break;
    case 2:
      All_.Members_.setStatus(hostName(),
                              static_cast<MemberStatus>(next(Random_, 3)));
      break;
    case 3: {
      Node &Toggled = *pick().Node_;
      Toggled.Reachable_ = !Toggled.Reachable_;
      break;
    }
    case 4:
      *pick().FaultRate_ = 100;
      break;
    case 5:
      *pick().FaultRate_ = static_cast<int>(next(Random_, 40));
      break;
    case 6:
      All_.Store_.releaseDelayed();
      All_.releaseForwards();
      break;
    case 7:
      pick().Freezer_->set(true);
      break;
    case 8:
      pick().Freezer_->set(false);
      break;
    case 9:
      replace();
      break;
    case 10:
      deleteJournals();
      break;
    case 11:
      sendNewPlain();
      break;
    case 12:
    case 13:
      resend();
      break;
    case 14:
      retire(pick());
      break;
    default:
      sendNew();
      break;
    }
  }

  void kill(Process &Victim) {
    if (Victim.Node_->Killed_)
      return;
    Victim.Node_->Killed_ = true;
    if (next(Random_, 3) != 0)
      All_.Members_.setStatus(Victim.Node_->Name_, MemberStatus::Dead);
  }

  /// Stops a process in the regular way.
  void retire(Process &Leaving) {
    Node &Stopped = *Leaving.Node_;
    if (next(Random_, 3) != 0 || Stopped.Killed_ ||
        !Retired_.insert(&Stopped).second)
      return;
    All_.Members_.setStatus(Stopped.Name_, MemberStatus::Draining);
    Submissions_.push_back(std::async(std::launch::async, [&Stopped] {
      Stopped.Runner_->stop(Milliseconds(50));
      Stopped.Killed_ = true;
    }));
  }

  /// Starts a process under a host name whose older process may still run.
  void replace() {
    if (Processes_.size() < 7)
      startProcess(hostName());
  }

  /// A janitor with a clock far ahead.
  void deleteJournals() {
    const std::string Host = hostName();
    std::uint64_t Incarnation = pick().Node_->Session_->incarnation();
    StoreClient Client(All_.Store_);
    if (next(Random_, 2) == 0)
      (void)capture([&] {
        return Journal::deleteOldSegments(Client, Host, Incarnation, ~0ULL, 5,
                                          Milliseconds(100));
      });
    else
      (void)capture([&] {
        return Journal::deleteClosed(Client, Host, Incarnation,
                                     Milliseconds(100));
      });
  }

  void sendNew() {
    Node &Home = *pick().Node_;
    auto Ticket = capture(
        [&] { return Home.Runner_->issueTicket(next(Random_, 2) == 0); });
    if (!Ticket || Home.Killed_)
      return;
    Keys_.push_back({*Ticket + ".x" + std::to_string(Keys_.size()), true});
    send(Keys_.back().first, true, "0");
  }

  void sendNewPlain() {
    Keys_.push_back({"plain-" + std::to_string(Keys_.size()), false});
    send(Keys_.back().first, false, "0");
  }

  void resend() {
    if (Keys_.empty())
      return;
    const auto &[Key, Ticketed] = Keys_[next(Random_, Keys_.size())];
    send(Key, Ticketed, next(Random_, 8) == 0 ? "1" : "0");
  }

  /// Sends \p Key to one or two hosts at once.
  void send(const std::string &Key, bool Ticketed, const std::string &Mark) {
    std::string Body = "\"" + Key + Mark + "\"";
    std::uint64_t Copies = 1 + next(Random_, 2);
    for (std::uint64_t I = 0; I < Copies; ++I) {
      Milliseconds Timeout(20 + static_cast<std::int64_t>(next(Random_, 150)));
      submit(*pick().Node_, Key, Ticketed, Body, Timeout);
    }
  }

  void submit(Node &At, const std::string &Key, bool Ticketed,
              const std::string &Body, Milliseconds Timeout) {
    bool IsLookUp = next(Random_, 6) == 0;
    auto Task = [this, &At, Key, Ticketed, Body, Timeout, IsLookUp] {
      Answer Got{Key, Body, Ticketed, IsLookUp, All_.Judge_.runs(Key), {}};
      if (At.Killed_)
        return;
      Got.Outcome_ = IsLookUp
                         ? At.Runner_->lookUp("orders", "guild", Key, Timeout)
                         : At.submit(Key, Body, Timeout);
      // The caller of a crashed process gets no answer.
      if (At.Killed_)
        return;
      std::lock_guard Lock(Mutex_);
      Answers_.push_back(std::move(Got));
    };
    Submissions_.push_back(std::async(std::launch::async, std::move(Task)));
  }

  void heal() {
    for (Process &Each : Processes_) {
      *Each.FaultRate_ = 0;
      Each.Freezer_->set(false);
    }
    All_.Store_.releaseDelayed();
    All_.releaseForwards();
  }

  void collect() {
    for (auto &Submission : Submissions_)
      Submission.get();
    Submissions_.clear();
    All_.releaseForwards();
    All_.joinForwards();
    All_.Store_.releaseDelayed();
  }

  /// Asks every host for every key once more, without faults.
  void askAgain() {
    for (const auto &[Key, Ticketed] : Keys_)
      for (Process &Each : Processes_)
        submit(*Each.Node_, Key, Ticketed, "\"" + Key + "0\"",
               Milliseconds(300));
  }

  void violation(Findings &Found, const std::string &What,
                 const std::string &Key) const {
    Found.Violations_.push_back("schedule seed " + std::to_string(Seed_) +
                                ": " + What + " key " + Key.substr(0, 12) +
                                "..." + Key.substr(Key.size() - 4));
  }

  Findings check() {
    Findings Found;
    for (const auto &[Key, Ticketed] : Keys_)
      if (All_.Judge_.runs(Key) > 1)
        violation(Found, "ran twice", Key);
    for (const Answer &Got : Answers_) {
      switch (Got.Outcome_.Kind_) {
      case OutcomeKind::Completed:
        ++Found.Completed_;
        if (!Got.IsLookUp_ && Got.Outcome_.Body_ != Judge::answerTo(Got.Body_))
          violation(Found, "completed with a foreign body", Got.Key_);
        if (All_.Judge_.runs(Got.Key_) == 0)
          violation(Found, "completed but never ran", Got.Key_);
        break;
      case OutcomeKind::NotRun:
        ++Found.NotRun_;
        if (Got.Ticketed_ && All_.Judge_.runs(Got.Key_) > 0)
          violation(Found, "ran although answered not_run", Got.Key_);
        if (Got.RunsBefore_ > 0)
          violation(Found, "answered not_run after it ran", Got.Key_);
        break;
      default:
        ++Found.Unknown_;
        break;
      }
    }
    return Found;
  }

  std::mt19937_64 Random_;
  std::uint64_t Seed_;
  Flaw Flaw_;
  bool ShortLived_ = false;
  Fleet All_;
  std::vector<Process> Processes_;
  std::vector<std::pair<std::string, bool>> Keys_; ///< With "is ticketed".
  std::set<Node *> Retired_;
  std::vector<std::future<void>> Submissions_;
  std::mutex Mutex_;
  std::vector<Answer> Answers_;
};

std::uint64_t baseSeed() {
  const char *Text = std::getenv("AMARANTH_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 20240601;
}

void add(Findings &Sum, Findings Part) {
  Sum.Violations_.insert(Sum.Violations_.end(), Part.Violations_.begin(),
                         Part.Violations_.end());
  Sum.Completed_ += Part.Completed_;
  Sum.NotRun_ += Part.NotRun_;
  Sum.Unknown_ += Part.Unknown_;
}

/// Runs schedules until there are \p Count, or, with \p StopAtViolation, until
/// one finds a violation.
Findings runSchedules(std::uint64_t Seed, int Count, Flaw Kind,
                      bool StopAtViolation) {
  setLogLevel(LogLevel::Error);
  Findings Sum;
  std::mutex Mutex;
  std::atomic<int> Next{0};
  std::vector<std::future<void>> Workers;
  for (int I = 0; I < Parallel; ++I)
    Workers.push_back(std::async(std::launch::async, [&] {
      while (true) {
        int Number = Next++;
        if (Number >= Count)
          return;
        Schedule One(Seed + static_cast<std::uint64_t>(Number), Kind);
        Findings Found = One.run();
        std::lock_guard Lock(Mutex);
        add(Sum, std::move(Found));
        if (StopAtViolation && !Sum.Violations_.empty())
          Next = Count;
      }
    }));
  for (auto &Worker : Workers)
    Worker.get();
  return Sum;
}

} // namespace

// Guards against any interleaving of faults that runs a key twice, runs a key
// that was answered `not_run`, or mixes up answers.
TEST_CASE("random faults never break at-most-once") {
  std::uint64_t Seed = baseSeed();
  Findings Found = runSchedules(Seed, 300, Flaw::None, false);
  std::cout << "AMARANTH_SEED=" << Seed << " completed=" << Found.Completed_
            << " not_run=" << Found.NotRun_ << " unknown=" << Found.Unknown_
            << "\n";
  for (const std::string &Violation : Found.Violations_)
    UNSCOPED_INFO(Violation);
  CHECK(Found.Violations_.empty());
  // The schedules reach every kind of answer.
  CHECK(Found.Completed_ > 0);
  CHECK(Found.NotRun_ > 0);
  CHECK(Found.Unknown_ > 0);
}

// Guards against a checker that finds nothing: each naive implementation must
// be caught.
TEST_CASE("random schedules catch naive implementations") {
  std::uint64_t Seed = baseSeed();
  for (Flaw Kind : {Flaw::DispatchBeforeAppend, Flaw::UnconditionalAppend,
                    Flaw::UnconditionalClaim}) {
    CAPTURE(Seed, static_cast<int>(Kind));
    Findings Found = runSchedules(Seed, 400, Kind, true);
    CHECK_FALSE(Found.Violations_.empty());
  }
}
