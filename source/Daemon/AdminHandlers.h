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

/// Objects that AdminHandlers refers to. Each must outlive it.
struct AdminDependencies {
  const state::DaemonSettings &Settings_;
  state::DocumentStore &Documents_;
  const coordination::MemberView &Members_;
  coordination::RequestGate &Gate_;
  coordination::TargetTable &Targets_;
  protocol::KeyValueStore &Store_;
  KeyValueCallCounter &KeyValueCalls_;
  state::Metrics &Metrics_;
  state::BurnReport &BurnReport_;
  /// True while this host is cut off from the key-value service and from most
  /// peers, and until it has caught up afterwards.
  std::function<bool()> IsIsolated_;
  std::function<void()> RequestDrain_;
  /// Puts a document in force on this host and pushes it to peers. Called after
  /// the document was written to the key-value service.
  std::function<void(const state::StoredDocument &)> PublishDocument_;
};

/// Serves the operator interface, health checks and metrics. Paths under
/// /v1/admin require the operator key. Health checks and metrics do not,
/// because the platform reads them.
class AdminHandlers final {
public:
  explicit AdminHandlers(const AdminDependencies &Dependencies);

  /// Adds the routes to \p Server.
  void install(transport::HttpServer &Server);

private:
  using Handler =
      transport::HttpReply (AdminHandlers::*)(const transport::HttpRequest &);

  void addProtected(transport::HttpServer &Server, std::string_view Method,
                    const std::string &Pattern, Handler OnRequest);
  bool isOperator(const transport::HttpRequest &Request) const;

  transport::HttpReply onStatus(const transport::HttpRequest &Request);
  transport::HttpReply onListServices(const transport::HttpRequest &Request);
  transport::HttpReply onGetService(const transport::HttpRequest &Request);
  transport::HttpReply onApplyService(const transport::HttpRequest &Request);
  transport::HttpReply onDeleteService(const transport::HttpRequest &Request);
  transport::HttpReply onListTargets(const transport::HttpRequest &Request);
  transport::HttpReply onDrain(const transport::HttpRequest &Request);
  transport::HttpReply onBurn(const transport::HttpRequest &Request);
  transport::HttpReply onLogLevel(const transport::HttpRequest &Request);
  using DocumentWriter = Result<coordination::ChangeOutcome> (*)(
      protocol::KeyValueStore &, const coordination::DocumentChange &,
      Milliseconds);
  transport::HttpReply changeDocument(const transport::HttpRequest &Request,
                                      DocumentWriter Write);
  bool isKeyValueReachable();
  transport::HttpReply onMetrics();
  transport::HttpReply onReady();

  std::string hostState() const;

  AdminDependencies Dependencies_;
};

} // namespace amaranth::daemon

#endif
