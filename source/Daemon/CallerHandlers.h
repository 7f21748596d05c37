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

/// What the caller interface works with; all must outlive it.
struct CallerParts {
  const state::DaemonSettings &Settings_;
  state::DocumentStore &Documents_;
  const coordination::MemberView &Members_;
  coordination::RequestGate &Gate_;
  coordination::AdmissionPolicy &Admission_;
  coordination::PipelineRunner &Pipelines_;
  coordination::PlainCallRunner &Calls_;
  coordination::OnceRunner &Once_;
  RequestRecorder &Recorder_;
  /// True while this host cannot know which documents are in force.
  std::function<bool()> Isolated_;
};

/// Checks callers' requests, runs them and writes the replies. Each request is
/// handled from start to end on the task of its connection.
class CallerHandlers final {
public:
  explicit CallerHandlers(const CallerParts &Parts);

  /// Adds the routes to \p Server.
  void install(transport::HttpServer &Server);

private:
  struct Call;
  using Document = std::shared_ptr<const state::ServiceDocument>;

  transport::HttpReply onEntryHosts(const transport::HttpRequest &Request);
  transport::HttpReply onSubmit(const transport::HttpRequest &Request);
  transport::HttpReply onLookUp(const transport::HttpRequest &Request);

  /// Fills \p Made from the headers and path, or returns the refusal.
  std::optional<protocol::Problem>
  openCall(const transport::HttpRequest &Request, Call &Made) const;
  std::optional<protocol::Problem> findAccount(const std::string &KeyDigest,
                                               const std::string &Service,
                                               Call &Made) const;
  bool isStarting() const;
  bool isKnownKey(const std::string &KeyDigest) const;
  bool allowsVolatile(const std::string &KeyDigest) const;

  /// Waits for a place; returns the refusal if there is none in time.
  std::optional<protocol::Problem> admit(Call &Made, std::size_t InputBytes,
                                         int MaxTokens);
  transport::HttpReply submitPipeline(std::shared_ptr<Call> Made,
                                      const std::string &Body);
  transport::HttpReply answerWhole(Call &Made);
  transport::HttpReply answerStream(std::shared_ptr<Call> Made);
  coordination::PipelineResult runPipeline(Call &Made,
                                           protocol::TokenListener *Listener);
  transport::HttpReply submitPlain(Call &Made, const std::string &Body);
  protocol::RequestOutcome runPlain(Call &Made, const state::PlainCall &Target,
                                    const protocol::PlainRequest &Read);

  CallerParts Parts_;
  protocol::CallerLimits Limits_;
};

} // namespace amaranth::daemon

#endif
