/// \file
/// HTTP interface for operators (docs/api.md).
#ifndef AMARANTH_DAEMON_ADMINHANDLERS_H
#define AMARANTH_DAEMON_ADMINHANDLERS_H

#include "Coordination/DocumentChange.h"
#include "Coordination/MemberView.h"
#include "Coordination/RequestGate.h"
#include "Coordination/TargetTable.h"
#include "Daemon/KeyValueCallCounter.h"
#include "Protocol/KeyValueStore.h"
#include "State/BurnReport.h"
#include "State/DaemonSettings.h"
#include "State/DocumentStore.h"
#include "State/Metrics.h"
#include "Transport/HttpServer.h"

#include <functional>

namespace amaranth::daemon {

/// What the operator interface works with; all must outlive it.
struct AdminParts {
  const state::DaemonSettings &Settings_;
  state::DocumentStore &Documents_;
  const coordination::MemberView &Members_;
  coordination::RequestGate &Gate_;
  coordination::TargetTable &Targets_;
  protocol::KeyValueStore &Store_;
  KeyValueCallCounter &KeyValueCalls_;
  state::Metrics &Metrics_;
  state::BurnReport &Burn_;
  std::function<bool()> Isolated_;
  std::function<void()> RequestDrain_;
  /// Puts a document that was just written in force here and at peers.
  std::function<void(const state::StoredDocument &)> Publish_;
};

/// Serves operators and probes of the host. Everything under /v1/admin needs
/// the operator key; health and metrics do not, as the platform reads them.
class AdminHandlers final {
public:
  explicit AdminHandlers(const AdminParts &Parts);

  /// Adds the routes to \p Server.
  void install(transport::HttpServer &Server);

private:
  using Handler =
      transport::HttpReply (AdminHandlers::*)(const transport::HttpRequest &);

  void addProtected(transport::HttpServer &Server, std::string_view Method,
                    const std::string &Pattern, Handler Handle);
  bool isOperator(const transport::HttpRequest &Request) const;

  transport::HttpReply onStatus(const transport::HttpRequest &Request);
  transport::HttpReply onServices(const transport::HttpRequest &Request);
  transport::HttpReply onService(const transport::HttpRequest &Request);
  transport::HttpReply onApply(const transport::HttpRequest &Request);
  transport::HttpReply onDelete(const transport::HttpRequest &Request);
  transport::HttpReply onTargets(const transport::HttpRequest &Request);
  transport::HttpReply onDrain(const transport::HttpRequest &Request);
  transport::HttpReply onBurn(const transport::HttpRequest &Request);
  transport::HttpReply onLogLevel(const transport::HttpRequest &Request);
  using Writer = Result<coordination::ChangeOutcome> (*)(
      protocol::KeyValueStore &, const coordination::DocumentChange &,
      Milliseconds);
  transport::HttpReply change(const transport::HttpRequest &Request,
                              Writer Write);
  bool isKeyValueReachable();
  transport::HttpReply onMetrics();
  transport::HttpReply onReady();

  std::string serviceState() const;

  AdminParts Parts_;
};

} // namespace amaranth::daemon

#endif
