#include "Standin/ServiceStandin.h"

#include "Support/Digest.h"

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::HttpReply;

namespace {

std::string readOrderId(const Json &Body) {
  if (!Body.is_object() || !Body.contains("order_id"))
    return "";
  const Json &Id = Body["order_id"];
  return Id.is_string() ? Id.get<std::string>() : Id.dump();
}

Json toJson(const Execution &Recorded) {
  Json Body = {{"name", Recorded.Name_},
               {"body_digest", Recorded.BodyDigest_},
               {"request_id", Recorded.RequestId_},
               {"time_ms", Recorded.ExecutedAt_.count()}};
  if (!Recorded.OrderId_.empty())
    Body["order_id"] = Recorded.OrderId_;
  return Body;
}

} // namespace

ServiceStandin::ServiceStandin(const ServiceSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.stopSignal()),
      LoadHistory_(Settings.LoadLag_, currentLoad()) {
  addSwitches();
  addRoutes();
}

ServiceStandin::~ServiceStandin() { stop(); }

Result<void> ServiceStandin::start() { return Server_.start(); }

std::vector<Announcement> ServiceStandin::announcements() const {
  return {{"service", Server_.port()}};
}

void ServiceStandin::stop() { Server_.stop(); }

void ServiceStandin::addSwitches() {
  FaultSwitches &Switches = Server_.switches();
  Switches.add("delay_ms", DelayMs_);
  Switches.add("late_ms", ReplyDelayMs_);
  Switches.add("drop_replies", DropReplies_);
  Switches.add("silent_after", SilentAfterExecution_);
  Switches.add("stale_replies", StaleReplies_);
}

void ServiceStandin::addRoutes() {
  Server_.addRoute("POST", "/v1/calls/([^/]+)", "calls",
                   [this](StandinCall &Call) { return handleCall(Call); });
  Server_.addRoute("GET", "/v1/load", "load", [this](StandinCall &) {
    LoadHistory_.record(currentLoad());
    return jsonReply(200, LoadHistory_.report());
  });
  Server_.addRoute("GET", "/standin/executions", "", [this](StandinCall &) {
    return jsonReply(200, executions());
  });
}

HttpReply ServiceStandin::handleCall(StandinCall &Call) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  Execution Recorded;
  ++PendingCalls_;
  LoadHistory_.record(currentLoad());
  bool Executed = execute(Call, Recorded);
  --PendingCalls_;
  LoadHistory_.record(currentLoad());
  if (!Executed) {
    Call.Connection_.cut();
    return errorReply(503, "stopping");
  }
  Json Body = {{"name", Recorded.Name_}, {"body_digest", Recorded.BodyDigest_}};
  if (!Recorded.OrderId_.empty())
    Body["order_id"] = Recorded.OrderId_;
  HttpReply CallReply = jsonReply(200, Body);
  CallReply.Headers_.add("X-Request-Id", Recorded.RequestId_);
  return applyReplyFaults(Call, std::move(CallReply));
}

/// Executes the call and records it; false if the process stops first.
bool ServiceStandin::execute(StandinCall &Call, Execution &Recorded) {
  if (!sleepFor(Milliseconds{DelayMs_}))
    return false;
  if (!Slots_.acquire(0, [] { return false; }))
    return false;
  SlotGuard Slot(Slots_);
  if (!sleepFor(std::chrono::duration_cast<Microseconds>(
          Settings_.ServiceTime_ * Faults_.slowFactor())))
    return false;
  Recorded.Name_ = Call.Request_.PathParameters_.at(0);
  Recorded.BodyDigest_ = sha256Hex(Call.Request_.Body_);
  Recorded.OrderId_ = readOrderId(Call.Body_);
  Recorded.RequestId_ = Call.Request_.Headers_.get("X-Request-Id");
  Recorded.ExecutedAt_ = unixTimeNow();
  std::lock_guard Lock(Mutex_);
  Executions_.push_back(Recorded);
  return true;
}

HttpReply ServiceStandin::applyReplyFaults(StandinCall &Call,
                                           HttpReply CallReply) {
  if (consumeOne(DropReplies_))
    Call.Connection_.cut();
  else if (consumeOne(SilentAfterExecution_))
    Faults_.withholdReply(Call.Connection_);
  sleepFor(Milliseconds{ReplyDelayMs_});
  return applyStaleReply(CallReply);
}

/// The reply to the previous call if the fault "stale_replies" applies,
/// otherwise \p CallReply.
HttpReply ServiceStandin::applyStaleReply(const HttpReply &CallReply) {
  std::lock_guard Lock(Mutex_);
  HttpReply Previous = std::exchange(PreviousReply_, CallReply);
  if (Previous.Body_.empty() || !consumeOne(StaleReplies_))
    return CallReply;
  return Previous;
}

bool ServiceStandin::sleepFor(Microseconds Time) {
  return Server_.stopSignal().sleepUntil(SteadyClock::now() + Time);
}

Json ServiceStandin::executions() {
  std::lock_guard Lock(Mutex_);
  Json List = Json::array();
  for (const Execution &Recorded : Executions_)
    List.push_back(toJson(Recorded));
  return {{"count", Executions_.size()}, {"executions", List}};
}

LoadSample ServiceStandin::currentLoad() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = PendingCalls_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> Time =
      Settings_.ServiceTime_ * Faults_.slowFactor();
  Sample.TokensPerSecond_ =
      Time.count() > 0 ? Settings_.Slots_ / Time.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
