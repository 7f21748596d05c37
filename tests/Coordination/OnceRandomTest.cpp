// Random schedules of faults against whole fleets. The checker compares every
// answer with the executions that the targets counted.
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

constexpr int HostCount = 3;
constexpr int WorkerCount = 6;

/// A deliberately wrong implementation, in which the checker must find
/// violations.
enum class Flaw {
  None,
  DispatchBeforeAppend,
  UnconditionalAppend,
  UnconditionalClaim,
};

/// Violations that the checker found, and the number of answers of each kind.
struct Findings {
  std::vector<std::string> Violations_;
  int Completed_ = 0;
  int NotRun_ = 0;
  int Unknown_ = 0;
};

/// Pauses the threads of one process.
class PauseSwitch {
public:
  void setPaused(bool Paused) {
    std::lock_guard Lock(Mutex_);
    Paused_ = Paused;
    Changed_.notify_all();
  }
  void waitWhilePaused() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, EventLimit, [this] { return !Paused_; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Paused_ = false;
};

/// A process with the switches of its injected faults.
struct Process {
  Node *Node_ = nullptr;
  std::shared_ptr<PauseSwitch> PauseSwitch_ = std::make_shared<PauseSwitch>();
  /// Percent of store and peer calls with a fault; 100 is an outage.
  std::shared_ptr<std::atomic<int>> FaultRate_ =
      std::make_shared<std::atomic<int>>(0);
};

struct Answer {
  std::string Key_;
  std::string Body_;
  bool Ticketed_ = false;
  bool IsLookUp_ = false; ///< Sends no body, so its answer is not compared.
  int RunsBefore_ = 0;    ///< Runs of the key before the request was sent.
  RequestOutcome Outcome_;
};

std::uint64_t randomBelow(std::mt19937_64 &Random, std::uint64_t Bound) {
  return Random() % Bound;
}

/// One random schedule of faults and requests on one fleet.
class Schedule {
public:
  Schedule(std::uint64_t Seed, Flaw Implementation)
      : Random_(Seed), Seed_(Seed), Flaw_(Implementation) {
    ShortTicketLife_ = randomBelow(Random_, 4) == 0;
    for (int I = 0; I < HostCount; ++I)
      startProcess(std::string(1, static_cast<char>('a' + I)));
    for (Process &Daemon : Processes_)
      Daemon.Node_->Session_->waitOpen(EventLimit);
  }

  Findings run() {
    int Steps = 20 + static_cast<int>(randomBelow(Random_, 40));
    for (int I = 0; I < Steps; ++I) {
      runRandomStep();
      // Most pauses are much shorter than the timeouts, some are as long.
      std::uint64_t MaxYields = randomBelow(Random_, 10) == 0 ? 20000 : 400;
      for (std::uint64_t Yields = randomBelow(Random_, MaxYields); Yields > 0;
           --Yields)
        std::this_thread::yield();
    }
    clearFaults();
    waitForSubmissions();
    resendAllKeys();
    clearFaults();
    waitForSubmissions();
    return checkAnswers();
  }

private:
  void startProcess(const std::string &Name) {
    Process Started;
    auto Settings = Fleet::settings();
    if (ShortTicketLife_) {
      Settings.TicketLifetime_ = Milliseconds(40);
      Settings.Registry_.Retention_ = Milliseconds(40);
    }
    // Clocks of hosts differ by up to an hour.
    Milliseconds Offset(
        static_cast<std::int64_t>(randomBelow(Random_, 7200000)));
    Settings.TicketClock_ = [Offset] {
      auto Now = SteadyClock::now().time_since_epoch();
      return Offset + std::chrono::duration_cast<Milliseconds>(Now);
    };
    Settings.BeforeDispatch_ = [PauseSwitch = Started.PauseSwitch_] {
      PauseSwitch->waitWhilePaused();
    };
    Settings.TestDispatchBeforeAppend_ = Flaw_ == Flaw::DispatchBeforeAppend;
    Started.Node_ = &Fleet_.start(Name, std::move(Settings));
    if (Flaw_ == Flaw::UnconditionalAppend)
      Started.Node_->Store_.setUnconditionalPrefix("/amaranth/journal/");
    if (Flaw_ == Flaw::UnconditionalClaim)
      Started.Node_->Store_.setUnconditionalPrefix("/amaranth/claims/");
    installFaultHooks(Started);
    Processes_.push_back(Started);
  }

  void installFaultHooks(Process &Faulty) {
    auto FaultRandom = std::make_shared<std::mt19937_64>(Random_());
    auto Mutex = std::make_shared<std::mutex>();
    auto DrawFault = [FaultRandom, Mutex, Rate = Faulty.FaultRate_] {
      int Percent = *Rate;
      if (Percent >= 100)
        return Fault::Unavailable;
      std::lock_guard Lock(*Mutex);
      if (static_cast<int>(randomBelow(*FaultRandom, 100)) >= Percent)
        return Fault::None;
      return static_cast<Fault>(1 + randomBelow(*FaultRandom, 4));
    };
    Node *Self = Faulty.Node_;
    auto PauseSwitch = Faulty.PauseSwitch_;
    Self->Store_.setAfterCommit(
        [PauseSwitch] { PauseSwitch->waitWhilePaused(); });
    Self->Store_.setFaultHook([=](const protocol::Transaction *) {
      PauseSwitch->waitWhilePaused();
      return Self->Killed_ ? Fault::Unavailable : DrawFault();
    });
    Self->PeerFaultHook_ = [=] {
      PauseSwitch->waitWhilePaused();
      return DrawFault();
    };
  }

  Process &pickProcess() {
    return Processes_[randomBelow(Random_, Processes_.size())];
  }

  std::string pickHostName() {
    return std::string(
        1, static_cast<char>('a' + randomBelow(Random_, HostCount)));
  }

  void runRandomStep() {
    switch (randomBelow(Random_, 17)) {
    case 0:
      kill(pickProcess());
      break;
    case 1:
      Fleet_.Members_.setStatus(pickHostName(), MemberStatus::Dead);
      break;
    case 2:
      Fleet_.Members_.setStatus(
          pickHostName(), static_cast<MemberStatus>(randomBelow(Random_, 3)));
      break;
    case 3: {
      Node &Peer = *pickProcess().Node_;
      Peer.Reachable_ = !Peer.Reachable_;
      break;
    }
    case 4:
      *pickProcess().FaultRate_ = 100;
      break;
    case 5:
      *pickProcess().FaultRate_ = static_cast<int>(randomBelow(Random_, 40));
      break;
    case 6:
      Fleet_.Store_.releaseDelayed();
      Fleet_.releaseForwards();
      break;
    case 7:
      pickProcess().PauseSwitch_->setPaused(true);
      break;
    case 8:
      pickProcess().PauseSwitch_->setPaused(false);
      break;
    case 9:
      restartHost();
      break;
    case 10:
      deleteJournalRecords();
      break;
    case 11:
      sendNewPlainKey();
      break;
    case 12:
    case 13:
      resendKnownKey();
      break;
    case 14:
      stopGracefully(pickProcess());
      break;
    default:
      sendNewTicketedKey();
      break;
    }
  }

  void kill(Process &Crashed) {
    if (Crashed.Node_->Killed_)
      return;
    Crashed.Node_->Killed_ = true;
    if (randomBelow(Random_, 3) != 0)
      Fleet_.Members_.setStatus(Crashed.Node_->Name_, MemberStatus::Dead);
  }

  /// Shuts a process down in order.
  void stopGracefully(Process &Stopping) {
    Node &Daemon = *Stopping.Node_;
    if (randomBelow(Random_, 3) != 0 || Daemon.Killed_ ||
        !Stopped_.insert(&Daemon).second)
      return;
    Fleet_.Members_.setStatus(Daemon.Name_, MemberStatus::Draining);
    Submissions_.push_back(std::async(std::launch::async, [&Daemon] {
      Daemon.Runner_->stop(Milliseconds(50));
      Daemon.Killed_ = true;
    }));
  }

  /// Starts a new process for a host whose earlier process may still run.
  void restartHost() {
    if (Processes_.size() < 7)
      startProcess(pickHostName());
  }

  /// Deletes journal records like a janitor whose clock is far ahead.
  void deleteJournalRecords() {
    const std::string Host = pickHostName();
    std::uint64_t Incarnation = pickProcess().Node_->Session_->incarnation();
    StoreClient Client(Fleet_.Store_);
    if (randomBelow(Random_, 2) == 0)
      (void)capture([&] {
        return Journal::deleteOldSegments(Client, Host, Incarnation, ~0ULL, 5,
                                          Milliseconds(100));
      });
    else
      (void)capture([&] {
        return Journal::deleteClosedJournal(Client, Host, Incarnation,
                                            Milliseconds(100));
      });
  }

  void sendNewTicketedKey() {
    Node &Home = *pickProcess().Node_;
    auto Ticket = capture([&] {
      return Home.Runner_->issueTicket(randomBelow(Random_, 2) == 0);
    });
    if (!Ticket || Home.Killed_)
      return;
    Keys_.push_back({*Ticket + ".x" + std::to_string(Keys_.size()), true});
    sendKey(Keys_.back().first, true, "0");
  }

  void sendNewPlainKey() {
    Keys_.push_back({"plain-" + std::to_string(Keys_.size()), false});
    sendKey(Keys_.back().first, false, "0");
  }

  void resendKnownKey() {
    if (Keys_.empty())
      return;
    const auto &[Key, Ticketed] = Keys_[randomBelow(Random_, Keys_.size())];
    sendKey(Key, Ticketed, randomBelow(Random_, 8) == 0 ? "1" : "0");
  }

  /// Sends \p Key to one or two hosts at the same time.
  void sendKey(const std::string &Key, bool Ticketed,
               const std::string &BodyMark) {
    std::string Body = "\"" + Key + BodyMark + "\"";
    std::uint64_t Copies = 1 + randomBelow(Random_, 2);
    for (std::uint64_t I = 0; I < Copies; ++I) {
      Milliseconds Timeout(
          20 + static_cast<std::int64_t>(randomBelow(Random_, 150)));
      submitAsync(*pickProcess().Node_, Key, Ticketed, Body, Timeout);
    }
  }

  void submitAsync(Node &Receiver, const std::string &Key, bool Ticketed,
                   const std::string &Body, Milliseconds Timeout) {
    bool IsLookUp = randomBelow(Random_, 6) == 0;
    auto Task = [this, &Receiver, Key, Ticketed, Body, Timeout, IsLookUp] {
      Answer Received{
          Key, Body, Ticketed, IsLookUp, Fleet_.Executions_.runCount(Key), {}};
      if (Receiver.Killed_)
        return;
      Received.Outcome_ =
          IsLookUp ? Receiver.Runner_->lookUp("orders", "guild", Key, Timeout)
                   : Receiver.submit(Key, Body, Timeout);
      // A crashed process sends no answer.
      if (Receiver.Killed_)
        return;
      std::lock_guard Lock(Mutex_);
      Answers_.push_back(std::move(Received));
    };
    Submissions_.push_back(std::async(std::launch::async, std::move(Task)));
  }

  void clearFaults() {
    for (Process &Current : Processes_) {
      *Current.FaultRate_ = 0;
      Current.PauseSwitch_->setPaused(false);
    }
    Fleet_.Store_.releaseDelayed();
    Fleet_.releaseForwards();
  }

  void waitForSubmissions() {
    for (auto &Submission : Submissions_)
      Submission.get();
    Submissions_.clear();
    Fleet_.releaseForwards();
    Fleet_.joinForwards();
    Fleet_.Store_.releaseDelayed();
  }

  /// Sends every key to every host once more, without faults.
  void resendAllKeys() {
    for (const auto &[Key, Ticketed] : Keys_)
      for (Process &Current : Processes_)
        submitAsync(*Current.Node_, Key, Ticketed, "\"" + Key + "0\"",
                    Milliseconds(300));
  }

  void addViolation(Findings &Found, const std::string &What,
                    const std::string &Key) const {
    Found.Violations_.push_back("schedule seed " + std::to_string(Seed_) +
                                ": " + What + " key " + Key.substr(0, 12) +
                                "..." + Key.substr(Key.size() - 4));
  }

  Findings checkAnswers() {
    Findings Found;
    for (const auto &[Key, Ticketed] : Keys_)
      if (Fleet_.Executions_.runCount(Key) > 1)
        addViolation(Found, "ran twice", Key);
    for (const Answer &Received : Answers_) {
      switch (Received.Outcome_.Kind_) {
      case OutcomeKind::Completed:
        ++Found.Completed_;
        if (!Received.IsLookUp_ &&
            Received.Outcome_.Body_ !=
                ExecutionLog::targetAnswer(Received.Body_))
          addViolation(Found, "completed with the body of another request",
                       Received.Key_);
        if (Fleet_.Executions_.runCount(Received.Key_) == 0)
          addViolation(Found, "completed but never ran", Received.Key_);
        break;
      case OutcomeKind::NotRun:
        ++Found.NotRun_;
        if (Received.Ticketed_ &&
            Fleet_.Executions_.runCount(Received.Key_) > 0)
          addViolation(Found, "ran although the answer was not_run",
                       Received.Key_);
        if (Received.RunsBefore_ > 0)
          addViolation(Found, "the answer was not_run after it ran",
                       Received.Key_);
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
  bool ShortTicketLife_ = false;
  Fleet Fleet_;
  std::vector<Process> Processes_;
  std::vector<std::pair<std::string, bool>>
      Keys_; ///< Key, and whether it has a ticket.
  std::set<Node *> Stopped_;
  std::vector<std::future<void>> Submissions_;
  std::mutex Mutex_;
  std::vector<Answer> Answers_;
};

std::uint64_t baseSeed() {
  const char *SeedText = std::getenv("AMARANTH_SEED");
  return SeedText ? std::strtoull(SeedText, nullptr, 10) : 20240601;
}

void mergeFindings(Findings &Total, Findings Added) {
  Total.Violations_.insert(Total.Violations_.end(), Added.Violations_.begin(),
                           Added.Violations_.end());
  Total.Completed_ += Added.Completed_;
  Total.NotRun_ += Added.NotRun_;
  Total.Unknown_ += Added.Unknown_;
}

/// Runs \p Count schedules. With \p StopAtViolation starts no more of them once
/// one has found a violation.
Findings runSchedules(std::uint64_t Seed, int Count, Flaw Implementation,
                      bool StopAtViolation) {
  setLogLevel(LogLevel::Error);
  Findings Total;
  std::mutex Mutex;
  std::atomic<int> NextNumber{0};
  std::vector<std::future<void>> Workers;
  for (int I = 0; I < WorkerCount; ++I)
    Workers.push_back(std::async(std::launch::async, [&] {
      while (true) {
        int Number = NextNumber++;
        if (Number >= Count)
          return;
        Schedule RandomSchedule(Seed + static_cast<std::uint64_t>(Number),
                                Implementation);
        Findings Found = RandomSchedule.run();
        std::lock_guard Lock(Mutex);
        mergeFindings(Total, std::move(Found));
        if (StopAtViolation && !Total.Violations_.empty())
          NextNumber = Count;
      }
    }));
  for (auto &Worker : Workers)
    Worker.get();
  return Total;
}

} // namespace

// Guards against interleavings of faults in which a key runs twice, a key runs
// after the answer `not_run`, or a request gets the answer of another.
TEST_CASE("random faults never break at-most-once") {
  std::uint64_t Seed = baseSeed();
  Findings Found = runSchedules(Seed, 300, Flaw::None, false);
  std::cout << "AMARANTH_SEED=" << Seed << " completed=" << Found.Completed_
            << " not_run=" << Found.NotRun_ << " unknown=" << Found.Unknown_
            << "\n";
  for (const std::string &Violation : Found.Violations_)
    UNSCOPED_INFO(Violation);
  CHECK(Found.Violations_.empty());
  // The schedules produced every kind of answer.
  CHECK(Found.Completed_ > 0);
  CHECK(Found.NotRun_ > 0);
  CHECK(Found.Unknown_ > 0);
}

// Guards against a checker that detects nothing: it must find a violation in
// each naive implementation.
TEST_CASE("random schedules catch naive implementations") {
  std::uint64_t Seed = baseSeed();
  for (Flaw Implementation :
       {Flaw::DispatchBeforeAppend, Flaw::UnconditionalAppend,
        Flaw::UnconditionalClaim}) {
    CAPTURE(Seed, static_cast<int>(Implementation));
    Findings Found = runSchedules(Seed, 400, Implementation, true);
    CHECK_FALSE(Found.Violations_.empty());
  }
}
