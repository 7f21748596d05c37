#include "Coordination/LoadPoller.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace amaranth::coordination {

using nlohmann::json;

namespace {

/// Bounds above which a value is rejected as a fault of the target.
constexpr double MaxQueuedWork = 1e9;
constexpr double MaxRunning = 1e6;
constexpr double MaxWorkPerSecond = 1e10;
constexpr double MaxAgeMs = 60'000;

/// The number under \p Key if it is between 0 and \p Limit, otherwise empty.
std::optional<double> readNumber(const json &Body, const char *Key,
                                 double Limit) {
  auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_number())
    return std::nullopt;
  double Value = Found->get<double>();
  if (!std::isfinite(Value) || Value < 0 || Value > Limit)
    return std::nullopt;
  return Value;
}

} // namespace

std::optional<LoadReport> readLoadReport(std::string_view Body) {
  json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  auto Queued = readNumber(Parsed, "queued_tokens", MaxQueuedWork);
  auto Running = readNumber(Parsed, "running", MaxRunning);
  auto Rate = readNumber(Parsed, "tokens_per_second", MaxWorkPerSecond);
  auto Age = readNumber(Parsed, "age_ms", MaxAgeMs);
  auto Leaving = Parsed.find("leaving");
  if (!Queued || !Running || !Rate || !Age || Leaving == Parsed.end() ||
      !Leaving->is_boolean())
    return std::nullopt;
  LoadReport Report;
  Report.QueuedWork_ = *Queued;
  Report.Running_ = *Running;
  Report.WorkPerSecond_ = *Rate;
  Report.Leaving_ = Leaving->get<bool>();
  Report.Age_ = Milliseconds{static_cast<Milliseconds::rep>(*Age)};
  return Report;
}

LoadPoller::LoadPoller(transport::HttpClient &Client,
                       transport::TimerService &Timers, TargetTable &Table,
                       TargetSource Targets, const LoadPollerSettings &Settings)
    : Client_(Client), Table_(Table), Targets_(std::move(Targets)),
      Settings_(Settings), Arena_({Settings.Concurrency_}),
      Timer_(Timers.subscribe(Settings.Period_, [this] { pollAll(); })) {}

void LoadPoller::pollAll() {
  for (const state::Target &Target : Targets_()) {
    // A leaving target that reports no load is polled too, to find out whether
    // it serves again or its process has ended.
    if (!Target.ReportsLoad_ && !Table_.isLeaving(Target.Address_))
      continue;
    {
      std::lock_guard Lock(Mutex_);
      if (!InProgress_.insert(Target.Address_).second)
        continue;
    }
    Arena_.enqueue([this, Address = Target.Address_] {
      poll(Address);
      std::lock_guard Lock(Mutex_);
      InProgress_.erase(Address);
    });
  }
}

void LoadPoller::poll(const std::string &Address) {
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = "GET";
  Call.Path_ = "/v1/load";
  Call.Deadline_ = SteadyClock::now() + Settings_.Timeout_;
  Call.ProgressTimeout_ = Settings_.Timeout_;
  transport::HttpOutcome Outcome = Client_.call(Call);
  bool ConnectionRefused =
      !Outcome.Ok_ && Outcome.Failure_ == transport::CallFailure::NotSent &&
      SteadyClock::now() < Call.Deadline_;
  if (ConnectionRefused && Table_.isLeaving(Address))
    Table_.onProcessEnded(Address);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return;
  if (auto Report = readLoadReport(Outcome.Reply_.Body_))
    Table_.onLoadReport(Address, *Report);
  else
    Table_.onBadReport(Address);
}

} // namespace amaranth::coordination
