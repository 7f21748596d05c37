#include "Control/BenchRun.h"

#include "Support/Digest.h"

#include <thread>

namespace amaranth::control {

namespace {

constexpr std::size_t NonceBytes = 4;

/// Time from planning to the start, in which the threads of the arena start.
constexpr Milliseconds LeadTime{200};

constexpr Milliseconds ControlTimeout{2000};

transport::HttpClientSettings clientSettings(int Concurrency) {
  transport::HttpClientSettings Settings;
  Settings.MaxIdlePerAddress_ = static_cast<std::size_t>(Concurrency);
  return Settings;
}

} // namespace

BenchRun::BenchRun(const BenchScenario &Scenario, BenchRunSettings Settings,
                   std::ostream &Progress)
    : Scenario_(Scenario), Settings_(std::move(Settings)), Progress_(Progress),
      Nonce_(randomHex(NonceBytes)),
      Client_(clientSettings(Settings_.Concurrency_)) {}

void BenchRun::run(BenchReport &Report, BenchVerifier &Verifier,
                   std::vector<BenchOrder> &Orders) {
  std::vector<PlannedRequest> Plan =
      planRequests(Scenario_, Settings_.Capacity_, Settings_.Seed_);
  makeCallers(Plan);
  Records_.reserve(Plan.size());
  {
    transport::WorkArena Arena({Settings_.Concurrency_});
    sendAll(Plan, Arena);
    Arena.waitIdle();
  }
  for (const BenchRecord &Record : Records_) {
    const BenchRequestKind &Kind =
        Scenario_.Kinds_[Record.Request_->KindIndex_];
    Verifier.check(Kind, Record);
    Report.add(Record);
    if (Kind.IsOrder_)
      Orders.push_back(
          {Record.OrderId_, Kind.Service_, Record.Outcome_, Record.KeyCount_});
  }
  Report.finishRun(Plan.size());
}

void BenchRun::makeCallers(const std::vector<PlannedRequest> &Plan) {
  for (const PlannedRequest &Request : Plan) {
    std::unique_ptr<BenchCaller> &Caller =
        Callers_[{Request.Account_, Request.CallerIndex_}];
    if (Caller)
      continue;
    BenchCallerSettings Settings;
    Settings.BearerKey_ = Settings_.BearerKeys_.at(Request.Account_);
    Settings.SeedHosts_ = Settings_.Hosts_;
    // The callers spread their first request for entry hosts over the daemons.
    std::size_t Rotation = Callers_.size() % Settings.SeedHosts_.size();
    std::rotate(Settings.SeedHosts_.begin(),
                Settings.SeedHosts_.begin() +
                    static_cast<std::ptrdiff_t>(Rotation),
                Settings.SeedHosts_.end());
    Caller = std::make_unique<BenchCaller>(Settings, Client_);
  }
}

void BenchRun::sendAll(const std::vector<PlannedRequest> &Plan,
                       transport::WorkArena &Arena) {
  Start_ = SteadyClock::now() + LeadTime;
  for (const PlannedRequest &Request : Plan) {
    startPhases(Request.Offset_);
    SteadyTime PlannedAt = Start_ + Request.Offset_;
    std::this_thread::sleep_until(PlannedAt);
    Arena.enqueue(
        [this, &Request, PlannedAt] { sendRequest(Request, PlannedAt); });
  }
  Microseconds PlanEnd{0};
  for (const BenchPhase &Phase : Scenario_.Phases_)
    PlanEnd += Phase.Duration_;
  startPhases(PlanEnd);
  std::this_thread::sleep_until(Start_ + PlanEnd);
  slowStandins(0, 1);
}

void BenchRun::sendRequest(const PlannedRequest &Request,
                           SteadyTime PlannedAt) {
  const BenchRequestKind &Kind = Scenario_.Kinds_[Request.KindIndex_];
  BenchCaller &Caller = *Callers_.at({Request.Account_, Request.CallerIndex_});
  BenchRecord Record = Caller.send(Kind, Request, PlannedAt, orderId(Request));
  std::lock_guard Lock(Mutex_);
  Records_.push_back(std::move(Record));
}

/// Starts every phase that is due at or before \p Offset.
void BenchRun::startPhases(Microseconds Offset) {
  Microseconds PhaseStart{0};
  for (std::size_t P = 0; P < Scenario_.Phases_.size(); ++P) {
    const BenchPhase &Phase = Scenario_.Phases_[P];
    if (P == NextPhase_ && PhaseStart <= Offset) {
      std::this_thread::sleep_until(Start_ + PhaseStart);
      Progress_ << "phase " << Phase.Name_ << std::endl;
      slowStandins(Phase.SlowedStandins_, Phase.SlowFactor_);
      ++NextPhase_;
    }
    PhaseStart += Phase.Duration_;
  }
}

/// Slows the first \p Count stand-ins by \p Factor and restores the speed of
/// those slowed earlier.
void BenchRun::slowStandins(int Count, double Factor) {
  std::size_t NewCount =
      std::min(static_cast<std::size_t>(Count), Settings_.Standins_.size());
  for (std::size_t I = 0; I < std::max(NewCount, SlowedCount_); ++I)
    setSlowFactor(Settings_.Standins_[I], I < NewCount ? Factor : 1);
  SlowedCount_ = NewCount;
}

void BenchRun::setSlowFactor(const std::string &Address, double Factor) {
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = "PUT";
  Call.Path_ = "/standin/switches";
  Call.Body_ = nlohmann::json{{"slow_factor", Factor}}.dump();
  Call.Deadline_ = SteadyClock::now() + ControlTimeout;
  transport::HttpOutcome Reply = Client_.call(Call);
  if (!Reply.Ok_ || Reply.Reply_.Status_ != 200)
    Progress_ << "stand-in " << Address
              << " did not confirm its new speed; the run continues"
              << std::endl;
}

std::string BenchRun::orderId(const PlannedRequest &Request) const {
  return Scenario_.Kinds_[Request.KindIndex_].Call_.empty()
             ? ""
             : Nonce_ + "-" + std::to_string(Request.Number_);
}

} // namespace amaranth::control
