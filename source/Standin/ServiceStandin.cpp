#include "Standin/ServiceStandin.h"

#include "Support/Digest.h"

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::HttpReply;

namespace {

std::string orderIdIn(const Json &Body) {
  if (!Body.is_object() || !Body.contains("order_id"))
    return "";
  const Json &Id = Body["order_id"];
  return Id.is_string() ? Id.get<std::string>() : Id.dump();
}

Json toJson(const Execution &Effect) {
  Json Body = {{"name", Effect.Name_},
               {"body_digest", Effect.BodyDigest_},
               {"request_id", Effect.RequestId_},
               {"time_ms", Effect.Time_.count()}};
  if (!Effect.OrderId_.empty())
    Body["order_id"] = Effect.OrderId_;
  return Body;
}

} // namespace

ServiceStandin::ServiceStandin(const ServiceSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.interruption()),
      Load_(Settings.LoadLag_, sample()) {
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
  SwitchBoard &Switches = Server_.switches();
  Switches.add("delay_ms", DelayMs_);
  Switches.add("late_ms", LateMs_);
  Switches.add("drop_replies", DropReplies_);
  Switches.add("silent_after", SilentAfter_);
  Switches.add("stale_replies", StaleReplies_);
}

void ServiceStandin::addRoutes() {
  Server_.route("POST", "/v1/calls/([^/]+)", "calls",
                [this](StandinCall &Call) { return call(Call); });
  Server_.route("GET", "/v1/load", "load", [this](StandinCall &) {
    Load_.record(sample());
    return jsonReply(200, Load_.report());
  });
  Server_.route("GET", "/standin/executions", "",
                [this](StandinCall &) { return jsonReply(200, executions()); });
}

HttpReply ServiceStandin::call(StandinCall &Call) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  Execution Effect;
  ++Work_;
  Load_.record(sample());
  bool Executed = execute(Call, Effect);
  --Work_;
  Load_.record(sample());
  if (!Executed) {
    Call.Connection_.cut();
    return errorReply(503, "stopping");
  }
  Json Body = {{"name", Effect.Name_}, {"body_digest", Effect.BodyDigest_}};
  if (!Effect.OrderId_.empty())
    Body["order_id"] = Effect.OrderId_;
  HttpReply Answer = jsonReply(200, Body);
  Answer.Headers_.add("X-Request-Id", Effect.RequestId_);
  return afterEffect(Call, std::move(Answer));
}

/// Runs the call and records its effect; false if the process stops first.
bool ServiceStandin::execute(StandinCall &Call, Execution &Effect) {
  if (!wait(Milliseconds{DelayMs_}))
    return false;
  if (!Slots_.acquire(0, [] { return false; }))
    return false;
  SlotGuard Slot(Slots_);
  if (!wait(std::chrono::duration_cast<Microseconds>(Settings_.ServiceTime_ *
                                                     Faults_.slowFactor())))
    return false;
  Effect.Name_ = Call.Request_.PathParameters_.at(0);
  Effect.BodyDigest_ = sha256Hex(Call.Request_.Body_);
  Effect.OrderId_ = orderIdIn(Call.Body_);
  Effect.RequestId_ = Call.Request_.Headers_.get("X-Request-Id");
  Effect.Time_ = wallNow();
  std::lock_guard Lock(Mutex_);
  Executions_.push_back(Effect);
  return true;
}

HttpReply ServiceStandin::afterEffect(StandinCall &Call, HttpReply Answer) {
  if (takeOne(DropReplies_))
    Call.Connection_.cut();
  else if (takeOne(SilentAfter_))
    Faults_.staySilent(Call.Connection_);
  wait(Milliseconds{LateMs_});
  return exchangeForLast(Answer);
}

/// The answer of the previous call if the fault for it is on, else \p Answer.
HttpReply ServiceStandin::exchangeForLast(const HttpReply &Answer) {
  std::lock_guard Lock(Mutex_);
  HttpReply Last = std::exchange(LastAnswer_, Answer);
  if (Last.Body_.empty() || !takeOne(StaleReplies_))
    return Answer;
  return Last;
}

bool ServiceStandin::wait(Microseconds Time) {
  return Server_.interruption().sleepUntil(SteadyClock::now() + Time);
}

Json ServiceStandin::executions() {
  std::lock_guard Lock(Mutex_);
  Json List = Json::array();
  for (const Execution &Effect : Executions_)
    List.push_back(toJson(Effect));
  return {{"count", Executions_.size()}, {"executions", List}};
}

LoadSample ServiceStandin::sample() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = Work_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> Time =
      Settings_.ServiceTime_ * Faults_.slowFactor();
  Sample.TokensPerSecond_ =
      Time.count() > 0 ? Settings_.Slots_ / Time.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
