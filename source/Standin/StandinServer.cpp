#include "Standin/StandinServer.h"

#include <thread>

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::HttpReply;
using transport::HttpRequest;

namespace {

constexpr Milliseconds CutPeriod{10};

transport::HttpServerSettings
httpSettings(const StandinServerSettings &Settings) {
  transport::HttpServerSettings Http;
  Http.Port_ = Settings.Port_;
  Http.MaxConnections_ = Settings.MaxConnections_;
  return Http;
}

} // namespace

HttpReply jsonReply(int Status, const Json &Body) {
  HttpReply Reply;
  Reply.Status_ = Status;
  Reply.Body_ = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Reply;
}

HttpReply errorReply(int Status, const std::string &Message) {
  return jsonReply(Status, {{"error", Message}});
}

StandinServer::StandinServer(const StandinServerSettings &Settings)
    : Server_(httpSettings(Settings)) {
  addControlRoutes();
}

StandinServer::~StandinServer() { stop(); }

void StandinServer::addRoute(const std::string &Method,
                             const std::string &Pattern,
                             const std::string &CounterName,
                             Handler HandleCall) {
  Server_.route(Method, Pattern,
                [this, CounterName, HandleCall = std::move(HandleCall)](
                    const HttpRequest &Request) {
                  return handle(CounterName, HandleCall, Request);
                });
}

HttpReply StandinServer::handle(const std::string &CounterName,
                                const Handler &HandleCall,
                                const HttpRequest &Request) {
  if (!CounterName.empty())
    countCall(CounterName);
  HttpReply Reply;
  try {
    StandinCall Call{Request, Json::object(), Connection(Request)};
    if (!Request.Body_.empty())
      Call.Body_ = Json::parse(Request.Body_);
    Reply = HandleCall(Call);
  } catch (const Json::exception &Failure) {
    Reply = errorReply(400, Failure.what());
  }
  std::string Id = Request.Headers_.get("X-Request-Id");
  if (!Id.empty() && !Reply.Headers_.has("X-Request-Id"))
    Reply.Headers_.add("X-Request-Id", Id);
  return Reply;
}

void StandinServer::countCall(const std::string &CounterName) {
  std::lock_guard Lock(CountersMutex_);
  ++CallCounts_[CounterName];
}

void StandinServer::addControlRoutes() {
  addRoute("GET", "/standin/counters", "", [this](StandinCall &) {
    std::lock_guard Lock(CountersMutex_);
    return jsonReply(200, CallCounts_);
  });
  addRoute("DELETE", "/standin/counters", "", [this](StandinCall &) {
    std::lock_guard Lock(CountersMutex_);
    CallCounts_.clear();
    return jsonReply(200, Json::object());
  });
  addRoute("GET", "/standin/switches", "", [this](StandinCall &) {
    return jsonReply(200, Switches_.snapshot());
  });
  addRoute("PUT", "/standin/switches", "", [this](StandinCall &Call) {
    if (auto ErrorText = Switches_.apply(Call.Body_))
      return errorReply(400, *ErrorText);
    StopSignal_.wakeWaiters();
    if (SwitchCallback_)
      SwitchCallback_();
    return jsonReply(200, Switches_.snapshot());
  });
}

void StandinServer::onSwitchChange(std::function<void()> Callback) {
  SwitchCallback_ = std::move(Callback);
}

Result<void> StandinServer::start() {
  BOOST_LEAF_CHECK(Server_.start());
  Running_ = true;
  return {};
}

void StandinServer::stop() {
  if (!Running_)
    return;
  Running_ = false;
  StopSignal_.stop();
  // The HTTP library waits until idle connections reach their keep-alive
  // timeout, so all connections are cut repeatedly until it has stopped.
  std::atomic<bool> Stopped = false;
  std::thread Cutter([&] {
    while (!Stopped) {
      Connection::cutAll(port());
      std::this_thread::sleep_for(CutPeriod);
    }
  });
  Server_.stop();
  Stopped = true;
  Cutter.join();
}

} // namespace amaranth::standin
