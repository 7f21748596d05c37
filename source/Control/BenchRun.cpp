#include "Control/BenchRun.h"

#include "Support/Digest.h"

#include <thread>

namespace amaranth::control {

namespace {

constexpr std::size_t NonceBytes = 4;

/// Time between planning and the first request, for the arena to start.
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
    dispatch(Plan, Arena);
    Arena.waitIdle();
  }
  for (const BenchRecord &Record : Records_) {
    const BenchRequestKind &Kind = Scenario_.Kinds_[Record.Request_->Kind_];
    Verifier.check(Kind, Record);
    Report.add(Record);
    if (Kind.Order_)
      Orders.push_back(
          {Record.OrderId_, Kind.Service_, Record.Outcome_, Record.Keys_});
  }
  Report.finishRun(Plan.size());
}

void BenchRun::makeCallers(const std::vector<PlannedRequest> &Plan) {
  for (const PlannedRequest &Request : Plan) {
    std::unique_ptr<BenchCaller> &Entry =
        Callers_[{Request.Account_, Request.Caller_}];
    if (Entry)
      continue;
    BenchCallerSettings Settings;
    Settings.BearerKey_ = Settings_.Keys_.at(Request.Account_);
    Settings.Hosts_ = Settings_.Hosts_;
    std::size_t Shift = Callers_.size() % Settings.Hosts_.size();
    std::rotate(Settings.Hosts_.begin(),
                Settings.Hosts_.begin() + static_cast<std::ptrdiff_t>(Shift),
                Settings.Hosts_.end());
    Entry = std::make_unique<BenchCaller>(Settings, Client_);
  }
}

void BenchRun::dispatch(const std::vector<PlannedRequest> &Plan,
                        transport::WorkArena &Arena) {
  Start_ = SteadyClock::now() + LeadTime;
  for (const PlannedRequest &Request : Plan) {
    enterPhases(Request.Offset_);
    SteadyTime Intended = Start_ + Request.Offset_;
    std::this_thread::sleep_until(Intended);
    Arena.enqueue([this, &Request, Intended] { sendOne(Request, Intended); });
  }
  Microseconds End{0};
  for (const BenchPhase &Phase : Scenario_.Phases_)
    End += Phase.Duration_;
  enterPhases(End);
  std::this_thread::sleep_until(Start_ + End);
  setSlowed(0, 1);
}

void BenchRun::sendOne(const PlannedRequest &Request, SteadyTime Intended) {
  const BenchRequestKind &Kind = Scenario_.Kinds_[Request.Kind_];
  BenchCaller &Caller = *Callers_.at({Request.Account_, Request.Caller_});
  BenchRecord Record = Caller.send(Kind, Request, Intended, orderId(Request));
  std::lock_guard Lock(Mutex_);
  Records_.push_back(std::move(Record));
}

/// Begins every phase that starts at or before \p Offset.
void BenchRun::enterPhases(Microseconds Offset) {
  Microseconds Begin{0};
  for (std::size_t P = 0; P < Scenario_.Phases_.size(); ++P) {
    const BenchPhase &Phase = Scenario_.Phases_[P];
    if (P == NextPhase_ && Begin <= Offset) {
      std::this_thread::sleep_until(Start_ + Begin);
      Progress_ << "phase " << Phase.Name_ << std::endl;
      setSlowed(Phase.Slowed_, Phase.SlowFactor_);
      ++NextPhase_;
    }
    Begin += Phase.Duration_;
  }
}

/// Slows the first \p Count stand-ins and restores those slowed before.
void BenchRun::setSlowed(int Count, double Factor) {
  std::size_t Wanted =
      std::min(static_cast<std::size_t>(Count), Settings_.Standins_.size());
  for (std::size_t I = 0; I < std::max(Wanted, Slowed_); ++I)
    changeSpeed(Settings_.Standins_[I], I < Wanted ? Factor : 1);
  Slowed_ = Wanted;
}

void BenchRun::changeSpeed(const std::string &Address, double Factor) {
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = "PUT";
  Call.Path_ = "/standin/switches";
  Call.Body_ = nlohmann::json{{"slow_factor", Factor}}.dump();
  Call.Deadline_ = SteadyClock::now() + ControlTimeout;
  transport::HttpOutcome Reply = Client_.call(Call);
  if (!Reply.Ok_ || Reply.Reply_.Status_ != 200)
    Progress_ << "stand-in " << Address << " did not change its speed"
              << std::endl;
}

std::string BenchRun::orderId(const PlannedRequest &Request) const {
  return Scenario_.Kinds_[Request.Kind_].Call_.empty()
             ? ""
             : Nonce_ + "-" + std::to_string(Request.Number_);
}

} // namespace amaranth::control
