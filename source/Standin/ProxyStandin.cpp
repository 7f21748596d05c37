#include "Standin/ProxyStandin.h"

#include <algorithm>
#include <array>

namespace amaranth::standin {

using transport::HttpReply;

namespace {

constexpr int ControlConnections = 16;
constexpr int TasksPerConnection = 2;
constexpr Seconds FirstReplyLimit{10};
/// A duplicated request's reply has ended after this time without a byte.
constexpr Milliseconds ReplyQuiet{200};

/// Reads until the other side is quiet or closes; returns the bytes read.
std::size_t drain(const Socket &From) {
  std::array<char, 4096> Buffer{};
  std::size_t Total = 0;
  Milliseconds Limit = FirstReplyLimit;
  while (From.waitReadable(Limit)) {
    std::ptrdiff_t Size = From.read(Buffer.data(), Buffer.size());
    if (Size <= 0)
      break;
    Total += static_cast<std::size_t>(Size);
    Limit = ReplyQuiet;
  }
  return Total;
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
  SwitchBoard &Switches = Server_.switches();
  Switches.add("refuse", Faults_.Refuse_);
  Switches.add("blackhole", Faults_.Blackhole_);
  Switches.add("drop_replies", Faults_.DropReplies_);
  Switches.add("delay_ms", Faults_.DelayMs_);
  Switches.add("cut_after_to_target", Faults_.CutToTarget_);
  Switches.add("cut_after_to_client", Faults_.CutToClient_);
  Server_.onSwitchChange([this] { applyRefusal(); });
}

void ProxyStandin::addRoutes() {
  Server_.route("POST", "/standin/cut", "", [this](StandinCall &) {
    return jsonReply(200, {{"cut", cutAll()}});
  });
  Server_.route("POST", "/standin/freeze", "", [this](StandinCall &) {
    return jsonReply(200, {{"frozen", freezeAll()}});
  });
  Server_.route("POST", "/standin/duplicate-last", "",
                [this](StandinCall &) { return duplicateLast(); });
  Server_.route("GET", "/standin/connections", "",
                [this](StandinCall &) { return jsonReply(200, describe()); });
}

Result<void> ProxyStandin::start() {
  BOOST_LEAF_ASSIGN(Listener_, Socket::listenOn(Settings_.Listen_));
  BOOST_LEAF_CHECK(Server_.start());
  Listening_ = true;
  Thread_ = std::thread([this] { acceptLoop(); });
  return {};
}

std::vector<Announcement> ProxyStandin::announcements() const {
  return {{"proxy", Listener_.localPort()}, {"proxy-control", Server_.port()}};
}

void ProxyStandin::stop() {
  if (!Thread_.joinable())
    return;
  Server_.stop();
  Listener_.shutdownBoth();
  Thread_.join();
  cutAll();
  Arena_.waitIdle();
}

void ProxyStandin::acceptLoop() {
  Interruption &Stop = Server_.interruption();
  while (!Stop.stopped()) {
    Socket Client = Listener_.accept();
    if (Client.valid())
      open(std::move(Client));
    else
      Stop.waitFor([this] { return !Faults_.Refuse_; });
  }
}

void ProxyStandin::open(Socket Client) {
  Socket Target;
  if (!Faults_.Blackhole_) {
    auto Connected =
        capture([this] { return Socket::connectTo(Settings_.To_); });
    // A target that refuses makes the client's connection end at once.
    if (!Connected)
      return;
    Target = std::move(*Connected);
  }
  auto Opened = std::make_shared<ProxyConnection>(
      std::move(Client), std::move(Target), Faults_, Recorder_,
      Server_.interruption());
  {
    std::lock_guard Lock(Mutex_);
    ++Accepted_;
    Open_.push_back(Opened);
  }
  auto Left = std::make_shared<std::atomic<int>>(TasksPerConnection);
  auto End = [this, Opened, Left] {
    if (--*Left == 0)
      close(Opened);
  };
  Arena_.enqueue([Opened, End] {
    Opened->pumpToTarget();
    End();
  });
  Arena_.enqueue([Opened, End] {
    Opened->pumpToClient();
    End();
  });
}

void ProxyStandin::close(const Connection &Ended) {
  std::lock_guard Lock(Mutex_);
  Open_.remove(Ended);
}

/// Stops or resumes listening; the port stays bound, so that no other socket
/// takes it while connections are refused.
void ProxyStandin::applyRefusal() {
  std::lock_guard Lock(Mutex_);
  bool Wanted = !Faults_.Refuse_;
  if (Wanted == Listening_)
    return;
  if (Wanted)
    Listener_.listenAgain();
  else
    Listener_.shutdownBoth();
  Listening_ = Wanted;
}

int ProxyStandin::cutAll() {
  std::lock_guard Lock(Mutex_);
  for (const Connection &Each : Open_)
    Each->cut();
  return static_cast<int>(Open_.size());
}

int ProxyStandin::freezeAll() {
  std::lock_guard Lock(Mutex_);
  for (const Connection &Each : Open_)
    Each->freeze();
  return static_cast<int>(Open_.size());
}

nlohmann::json ProxyStandin::describe() {
  std::lock_guard Lock(Mutex_);
  auto Frozen = std::count_if(Open_.begin(), Open_.end(),
                              [](const auto &Each) { return Each->frozen(); });
  return {{"accepted", Accepted_}, {"open", Open_.size()}, {"frozen", Frozen}};
}

HttpReply ProxyStandin::duplicateLast() {
  std::string Request = Recorder_.get();
  if (Request.empty())
    return errorReply(409, "no request has been forwarded");
  auto Target = capture([this] { return Socket::connectTo(Settings_.To_); });
  if (!Target)
    return errorReply(502, Target.error().Message_);
  if (!Target->writeAll(Request))
    return errorReply(502, "the target closed the connection");
  std::size_t Received = drain(*Target);
  return jsonReply(200, {{"sent", Request.size()}, {"received", Received}});
}

} // namespace amaranth::standin
