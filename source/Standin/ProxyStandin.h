/// \file
/// TCP proxy that injects network faults.
#ifndef AMARANTH_STANDIN_PROXYSTANDIN_H
#define AMARANTH_STANDIN_PROXYSTANDIN_H

#include "Standin/ProxyConnection.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Transport/WorkArena.h"

#include <list>
#include <memory>
#include <thread>

namespace amaranth::standin {

/// Settings of ProxyStandin.
struct ProxySettings {
  SocketAddress ListenAddress_;
  SocketAddress TargetAddress_;
  int ControlPort_ = 0;
  int MaxConnections_ = 512;
};

/// Forwards bytes independently of the protocol. It is controlled by HTTP on a
/// port of its own: the switches of ProxyFaults, and the actions cut, freeze
/// and duplicate-last.
class ProxyStandin final : public Standin {
public:
  explicit ProxyStandin(const ProxySettings &Settings);
  ~ProxyStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using ConnectionPtr = std::shared_ptr<ProxyConnection>;

  void addSwitches();
  void addRoutes();
  void acceptLoop();
  void openConnection(Socket Client);
  void removeConnection(const ConnectionPtr &Closed);
  void updateListening();
  int cutAll();
  int freezeAll();
  nlohmann::json connectionCounts();
  transport::HttpReply duplicateLast();

  ProxySettings Settings_;
  ProxyFaults Faults_;
  RequestRecorder Recorder_;
  StandinServer Server_;
  Socket Listener_;
  std::mutex Mutex_;
  std::list<ConnectionPtr> OpenConnections_;
  std::int64_t AcceptedCount_ = 0;
  bool Listening_ = false;
  transport::WorkArena Arena_;
  std::thread AcceptThread_;
};

} // namespace amaranth::standin

#endif
