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

void StandinServer::route(const std::string &Method, const std::string &Pattern,
                          const std::string &Kind, Handler Handle) {
  Server_.route(
      Method, Pattern,
      [this, Kind, Handle = std::move(Handle)](const HttpRequest &Request) {
        return handle(Kind, Handle, Request);
      });
}

HttpReply StandinServer::handle(const std::string &Kind, const Handler &Handle,
                                const HttpRequest &Request) {
  if (!Kind.empty())
    count(Kind);
  HttpReply Reply;
  try {
    StandinCall Call{Request, Json::object(), Connection(Request)};
    if (!Request.Body_.empty())
      Call.Body_ = Json::parse(Request.Body_);
    Reply = Handle(Call);
  } catch (const Json::exception &Failure) {
    Reply = errorReply(400, Failure.what());
  }
  std::string Id = Request.Headers_.get("X-Request-Id");
  if (!Id.empty() && !Reply.Headers_.has("X-Request-Id"))
    Reply.Headers_.add("X-Request-Id", Id);
  return Reply;
}

void StandinServer::count(const std::string &Kind) {
  std::lock_guard Lock(Mutex_);
  ++Counters_[Kind];
}

void StandinServer::addControlRoutes() {
  route("GET", "/standin/counters", "", [this](StandinCall &) {
    std::lock_guard Lock(Mutex_);
    return jsonReply(200, Counters_);
  });
  route("DELETE", "/standin/counters", "", [this](StandinCall &) {
    std::lock_guard Lock(Mutex_);
    Counters_.clear();
    return jsonReply(200, Json::object());
  });
  route("GET", "/standin/switches", "",
        [this](StandinCall &) { return jsonReply(200, Switches_.snapshot()); });
  route("PUT", "/standin/switches", "", [this](StandinCall &Call) {
    if (auto Fault = Switches_.apply(Call.Body_))
      return errorReply(400, *Fault);
    Interruption_.notify();
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
  Interruption_.stop();
  // The HTTP library waits for idle connections to reach their keep-alive
  // timeout, so they are cut until it has stopped.
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
