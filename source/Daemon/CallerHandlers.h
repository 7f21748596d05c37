/// \file
/// HTTP interface for callers (docs/api.md).
#ifndef AMARANTH_DAEMON_CALLERHANDLERS_H
#define AMARANTH_DAEMON_CALLERHANDLERS_H

#include "Coordination/AdmissionPolicy.h"
#include "Coordination/MemberView.h"
#include "Coordination/OnceRunner.h"
#include "Coordination/PipelineRunner.h"
#include "Coordination/PlainCallRunner.h"
#include "Coordination/RequestGate.h"
#include "Daemon/RequestRecorder.h"
#include "Protocol/CallerApi.h"
#include "Protocol/Problem.h"
#include "State/DaemonSettings.h"
#include "State/DocumentStore.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <memory>

namespace amaranth::daemon {

/// Objects that CallerHandlers refers to. Each must outlive it.
struct CallerDependencies {
  const state::DaemonSettings &Settings_;
  state::DocumentStore &Documents_;
  const coordination::MemberView &Members_;
  coordination::RequestGate &Gate_;
  coordination::AdmissionPolicy &Admission_;
  coordination::PipelineRunner &Pipelines_;
  coordination::PlainCallRunner &PlainCalls_;
  coordination::OnceRunner &OnceRunner_;
  RequestRecorder &Recorder_;
  /// True while this host is cut off from the key-value service and from most
  /// peers, and until it has caught up afterwards: its documents may be out of
  /// date.
  std::function<bool()> IsIsolated_;
};

/// Checks the requests of callers, runs them and writes the replies. A request
/// is processed from start to end by the task of its connection.
class CallerHandlers final {
public:
  explicit CallerHandlers(const CallerDependencies &Dependencies);

  /// Adds the routes to \p Server.
  void install(transport::HttpServer &Server);

private:
  struct RequestContext;
  using Document = std::shared_ptr<const state::ServiceDocument>;

  transport::HttpReply onEntryHosts(const transport::HttpRequest &Request);
  transport::HttpReply onSubmit(const transport::HttpRequest &Request);
  transport::HttpReply onLookUp(const transport::HttpRequest &Request);

  /// Fills \p Context from the headers and the path; returns a problem if the
  /// request is refused.
  std::optional<protocol::Problem>
  initializeContext(const transport::HttpRequest &Request,
                    RequestContext &Context) const;
  std::optional<protocol::Problem> findAccount(const std::string &KeyDigest,
                                               const std::string &Service,
                                               RequestContext &Context) const;
  bool isStarting() const;
  bool isKnownKey(const std::string &KeyDigest) const;
  bool allowsVolatileTickets(const std::string &KeyDigest) const;

  /// Waits until admission control admits the request; returns a problem if it
  /// is refused.
  std::optional<protocol::Problem> admit(RequestContext &Context,
                                         std::size_t InputBytes, int MaxTokens);
  transport::HttpReply submitPipeline(std::shared_ptr<RequestContext> Context,
                                      const std::string &Body);
  transport::HttpReply replyWhole(RequestContext &Context);
  transport::HttpReply replyStream(std::shared_ptr<RequestContext> Context);
  coordination::PipelineResult runPipeline(RequestContext &Context,
                                           protocol::TokenListener *Listener);
  transport::HttpReply submitPlain(RequestContext &Context,
                                   const std::string &Body);
  protocol::RequestOutcome runPlain(RequestContext &Context,
                                    const state::PlainCall &CallSettings,
                                    const protocol::PlainRequest &Parsed);

  CallerDependencies Dependencies_;
  protocol::CallerLimits Limits_;
};

} // namespace amaranth::daemon

#endif
