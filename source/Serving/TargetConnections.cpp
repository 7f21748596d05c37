#include "Serving/TargetConnections.h"

namespace amaranth::serving {

using transport::Awaitable;
using transport::TcpLink;

TargetConnections::TargetConnections(transport::Loop &Executor,
                                     TargetConnectionsSettings Settings)
    : Loop_(Executor), Settings_(Settings) {}

std::shared_ptr<TcpLink>
TargetConnections::acquireIdle(const std::string &TargetId) {
  auto Found = IdleConnections_.find(TargetId);
  if (Found == IdleConnections_.end())
    return nullptr;
  std::deque<IdleConnection> &Links = Found->second;
  SteadyTime Now = SteadyClock::now();
  while (!Links.empty()) {
    IdleConnection Idle = std::move(Links.back());
    Links.pop_back();
    if (Now < Idle.UsableUntil_ && !Idle.Link_->closedOrReadable())
      return Idle.Link_;
    Idle.Link_->close();
  }
  return nullptr;
}

Awaitable<std::shared_ptr<TcpLink>>
TargetConnections::acquire(state::TargetRecord Target, SteadyTime Deadline) {
  std::shared_ptr<TcpLink> IdleLink = acquireIdle(Target.Id_);
  if (IdleLink) {
    IdleLink->setDeadline(Deadline, TcpLink::AtDeadline::Abort);
    co_return IdleLink;
  }
  auto Endpoint = transport::parseEndpoint(Target.Address_);
  if (!Endpoint)
    co_return nullptr;
  auto Link = std::make_shared<TcpLink>(Loop_);
  SteadyTime ConnectBy = SteadyClock::now() + Settings_.ConnectTimeout_;
  Link->setDeadline(std::min(ConnectBy, Deadline));
  boost::asio::ip::tcp::endpoint Address = *Endpoint;
  bool Connected = co_await Link->connect(Address);
  if (!Connected) {
    Link->close();
    co_return nullptr;
  }
  Link->setDeadline(Deadline, TcpLink::AtDeadline::Abort);
  co_return Link;
}

void TargetConnections::release(const std::string &TargetId,
                                std::shared_ptr<TcpLink> Link,
                                std::optional<Milliseconds> KeepAlive) {
  Link->clearDeadline();
  Milliseconds Lifetime =
      KeepAlive.value_or(Settings_.IdleTimeout_) - Settings_.IdleMargin_;
  std::deque<IdleConnection> &Links = IdleConnections_[TargetId];
  if (Lifetime <= Milliseconds(0) ||
      Links.size() >= Settings_.MaxIdlePerTarget_) {
    Link->close();
    return;
  }
  Links.push_back({std::move(Link), SteadyClock::now() + Lifetime});
}

void TargetConnections::closeIdle(const std::string &TargetId) {
  auto Found = IdleConnections_.find(TargetId);
  if (Found == IdleConnections_.end())
    return;
  for (IdleConnection &Connection : Found->second)
    Connection.Link_->close();
  IdleConnections_.erase(Found);
}

void TargetConnections::closeExpired(SteadyTime Now) {
  for (auto It = IdleConnections_.begin(); It != IdleConnections_.end();) {
    std::erase_if(It->second, [&](IdleConnection &Connection) {
      if (Now < Connection.UsableUntil_)
        return false;
      Connection.Link_->close();
      return true;
    });
    It = It->second.empty() ? IdleConnections_.erase(It) : std::next(It);
  }
}

} // namespace amaranth::serving
