#include "Transport/RpcLoop.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <future>
#include <optional>

namespace amaranth::transport {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Parsed, Failure] = std::from_chars(Text.data(), End, Port);
  if (Failure != std::errc() || Parsed != End)
    return std::nullopt;
  return Port;
}

} // namespace

RpcLoop::RpcLoop() {
  std::promise<void> Started;
  Thread_ = std::thread([&] {
    kj::AsyncIoContext Io = kj::setupAsyncIo();
    auto Stopped = kj::newPromiseAndFulfiller<void>();
    Io_ = &Io;
    Stop_ = kj::mv(Stopped.fulfiller);
    Executor_ = kj::getCurrentThreadExecutor().addRef();
    Started.set_value();
    Stopped.promise.wait(Io.waitScope);
    Stop_ = nullptr;
  });
  Started.get_future().wait();
}

RpcLoop::~RpcLoop() {
  run([this] { Stop_->fulfill(); });
  Thread_.join();
}

kj::Timer &RpcLoop::timer() {
  assert(std::this_thread::get_id() == Thread_.get_id());
  return Io_->provider->getTimer();
}

kj::Network &RpcLoop::network() {
  assert(std::this_thread::get_id() == Thread_.get_id());
  return Io_->provider->getNetwork();
}

kj::Maybe<kj::Own<kj::NetworkAddress>>
RpcLoop::parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return nullptr;
  std::string Host = Text.substr(0, Colon);
  auto Port = parsePort(std::string_view(Text).substr(Colon + 1));
  if (!Port)
    return nullptr;
  sockaddr_in Ip4{};
  if (inet_pton(AF_INET, Host.c_str(), &Ip4.sin_addr) == 1) {
    Ip4.sin_family = AF_INET;
    Ip4.sin_port = htons(*Port);
    return network().getSockaddr(&Ip4, sizeof(Ip4));
  }
  if (!Host.starts_with('[') || !Host.ends_with(']'))
    return nullptr;
  sockaddr_in6 Ip6{};
  Host = Host.substr(1, Host.size() - 2);
  if (inet_pton(AF_INET6, Host.c_str(), &Ip6.sin6_addr) != 1)
    return nullptr;
  Ip6.sin6_family = AF_INET6;
  Ip6.sin6_port = htons(*Port);
  return network().getSockaddr(&Ip6, sizeof(Ip6));
}

} // namespace amaranth::transport
