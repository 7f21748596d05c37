#include "Standin/ProxyStandin.h"

#include <algorithm>
#include <array>

namespace amaranth::standin {

using transport::HttpReply;

namespace {

constexpr int ControlConnections = 16;
constexpr int TasksPerConnection = 2;
constexpr Seconds FirstByteTimeout{10};
/// The reply to a duplicated request counts as complete after this time
/// without a byte.
constexpr Milliseconds ReplyIdleTimeout{200};

/// Reads until no byte arrives in time or the peer closes the connection;
/// returns the number of bytes read.
std::size_t readReply(const Socket &Source) {
  std::array<char, 4096> Buffer{};
  std::size_t BytesRead = 0;
  Milliseconds Timeout = FirstByteTimeout;
  while (Source.waitReadable(Timeout)) {
    std::ptrdiff_t Size = Source.read(Buffer.data(), Buffer.size());
    if (Size <= 0)
      break;
    BytesRead += static_cast<std::size_t>(Size);
    Timeout = ReplyIdleTimeout;
  }
  return BytesRead;
}

} // namespace

ProxyStandin::ProxyStandin(const ProxySettings &Settings)
    : Settings_(Settings), Server_({Settings.ControlPort_, ControlConnections}),
      Arena_({Settings.MaxConnections_ * TasksPerConnection}) {
  addSwitches();
  addRoutes();
}

ProxyStandin::~ProxyStandin() { stop(); }

void ProxyStandin::addSwitches() {
  FaultSwitches &Switches = Server_.switches();
  Switches.add("refuse", Faults_.Refuse_);
  Switches.add("blackhole", Faults_.Blackhole_);
  Switches.add("drop_replies", Faults_.DropReplies_);
  Switches.add("delay_ms", Faults_.DelayMs_);
  Switches.add("cut_after_to_target", Faults_.CutAfterToTarget_);
  Switches.add("cut_after_to_client", Faults_.CutAfterToClient_);
  Server_.onSwitchChange([this] { updateListening(); });
}

void ProxyStandin::addRoutes() {
  Server_.addRoute("POST", "/standin/cut", "", [this](StandinCall &) {
    return jsonReply(200, {{"cut", cutAll()}});
  });
  Server_.addRoute("POST", "/standin/freeze", "", [this](StandinCall &) {
    return jsonReply(200, {{"frozen", freezeAll()}});
  });
  Server_.addRoute("POST", "/standin/duplicate-last", "",
                   [this](StandinCall &) { return duplicateLast(); });
  Server_.addRoute("GET", "/standin/connections", "", [this](StandinCall &) {
    return jsonReply(200, connectionCounts());
  });
}

Result<void> ProxyStandin::start() {
  BOOST_LEAF_ASSIGN(Listener_, Socket::listenOn(Settings_.ListenAddress_));
  BOOST_LEAF_CHECK(Server_.start());
  Listening_ = true;
  AcceptThread_ = std::thread([this] { acceptLoop(); });
  return {};
}

std::vector<Announcement> ProxyStandin::announcements() const {
  return {{"proxy", Listener_.localPort()}, {"proxy-control", Server_.port()}};
}

void ProxyStandin::stop() {
  if (!AcceptThread_.joinable())
    return;
  Server_.stop();
  Listener_.shutdownBoth();
  AcceptThread_.join();
  cutAll();
  Arena_.waitIdle();
}

void ProxyStandin::acceptLoop() {
  StopSignal &Signal = Server_.stopSignal();
  while (!Signal.stopped()) {
    Socket Client = Listener_.accept();
    if (Client.valid())
      openConnection(std::move(Client));
    else
      Signal.waitFor([this] { return !Faults_.Refuse_; });
  }
}

void ProxyStandin::openConnection(Socket Client) {
  Socket Target;
  if (!Faults_.Blackhole_) {
    auto Connected =
        capture([this] { return Socket::connectTo(Settings_.TargetAddress_); });
    // If the target refuses the connection, the client's connection is closed
    // at once.
    if (!Connected)
      return;
    Target = std::move(*Connected);
  }
  auto Opened = std::make_shared<ProxyConnection>(
      std::move(Client), std::move(Target), Faults_, Recorder_,
      Server_.stopSignal());
  {
    std::lock_guard Lock(Mutex_);
    ++AcceptedCount_;
    OpenConnections_.push_back(Opened);
  }
  auto RemainingTasks = std::make_shared<std::atomic<int>>(TasksPerConnection);
  auto FinishTask = [this, Opened, RemainingTasks] {
    if (--*RemainingTasks == 0)
      removeConnection(Opened);
  };
  Arena_.enqueue([Opened, FinishTask] {
    Opened->forwardToTarget();
    FinishTask();
  });
  Arena_.enqueue([Opened, FinishTask] {
    Opened->forwardToClient();
    FinishTask();
  });
}

void ProxyStandin::removeConnection(const ConnectionPtr &Closed) {
  std::lock_guard Lock(Mutex_);
  OpenConnections_.remove(Closed);
}

/// Stops or resumes listening as the switch "refuse" says. The port stays
/// bound, so that no other socket can take it while connections are refused.
void ProxyStandin::updateListening() {
  std::lock_guard Lock(Mutex_);
  bool ShouldListen = !Faults_.Refuse_;
  if (ShouldListen == Listening_)
    return;
  if (ShouldListen)
    Listener_.startListening();
  else
    Listener_.shutdownBoth();
  Listening_ = ShouldListen;
}

int ProxyStandin::cutAll() {
  std::lock_guard Lock(Mutex_);
  for (const ConnectionPtr &Open : OpenConnections_)
    Open->cut();
  return static_cast<int>(OpenConnections_.size());
}

int ProxyStandin::freezeAll() {
  std::lock_guard Lock(Mutex_);
  for (const ConnectionPtr &Open : OpenConnections_)
    Open->freeze();
  return static_cast<int>(OpenConnections_.size());
}

nlohmann::json ProxyStandin::connectionCounts() {
  std::lock_guard Lock(Mutex_);
  auto Frozen = std::count_if(OpenConnections_.begin(), OpenConnections_.end(),
                              [](const auto &Open) { return Open->frozen(); });
  return {{"accepted", AcceptedCount_},
          {"open", OpenConnections_.size()},
          {"frozen", Frozen}};
}

HttpReply ProxyStandin::duplicateLast() {
  std::string Request = Recorder_.get();
  if (Request.empty())
    return errorReply(409, "no request has been forwarded");
  auto Target =
      capture([this] { return Socket::connectTo(Settings_.TargetAddress_); });
  if (!Target)
    return errorReply(502, Target.error().Message_);
  if (!Target->writeAll(Request))
    return errorReply(502, "the target closed the connection");
  std::size_t Received = readReply(*Target);
  return jsonReply(200, {{"sent", Request.size()}, {"received", Received}});
}

} // namespace amaranth::standin
