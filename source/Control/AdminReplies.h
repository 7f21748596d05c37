/// \file
/// Parsers of the replies of the daemon's operator interface.
#ifndef AMARANTH_CONTROL_ADMINREPLIES_H
#define AMARANTH_CONTROL_ADMINREPLIES_H

#include "State/ServiceDocument.h"
#include "Support/Error.h"
#include "Transport/HttpMessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::control {

/// A host, as listed by another host.
struct MemberStatus {
  std::string Host_;
  std::string DataCentre_;
  std::string CallerAddress_;
  std::string Status_; ///< "alive", "suspect", "draining" or "dead".
  std::string Incarnation_;
  double Load_ = 0;
};

/// The revision of a service that is in force on a host.
struct ServiceStatus {
  std::string Name_;
  std::uint64_t Revision_ = 0;
  bool Deleted_ = false;
};

/// Reply to GET /v1/admin/status.
struct HostStatus {
  std::string Host_;
  std::string DataCentre_;
  std::string Incarnation_;
  std::string State_;
  std::uint64_t InFlight_ = 0;
  std::vector<MemberStatus> Members_;
  std::vector<ServiceStatus> Services_;
  bool KeyValueReachable_ = false;
  std::map<std::string, std::uint64_t> KeyValueCalls_;
};

/// One entry of the reply to GET /v1/admin/targets.
struct TargetStatus {
  std::string Service_;
  std::string Name_;
  std::string Address_;
  std::string DataCentre_;
  std::string Status_;
  std::uint64_t InFlight_ = 0;
  std::uint64_t QueuedTokens_ = 0;
  std::string LoadAge_; ///< Milliseconds, or "-" before the first report.
  std::string Latency_; ///< Milliseconds, or "-" before the first reply.
};

// Each parser returns CorruptData if the text is not a well-formed reply of its
// kind.
Result<HostStatus> parseHostStatus(std::string_view Json);
Result<std::vector<ServiceStatus>> parseServices(std::string_view Json);
Result<state::StoredDocument> parseStoredDocument(std::string_view Json);
Result<std::vector<TargetStatus>> parseTargets(std::string_view Json);
/// The revision in a 200 or 409 reply to PUT or DELETE.
Result<std::uint64_t> parseRevision(std::string_view Json);
/// The document in a 409 reply.
Result<std::string> parseConflictDocument(std::string_view Json);
/// The faults in a 422 reply.
Result<std::vector<state::DocumentFault>> parseFaults(std::string_view Json);

/// The HTTP status of \p Reply, with title and detail of its problem document
/// if there is one.
std::string describeProblem(const transport::HttpReply &Reply);

/// Whether the problem document of \p Reply states that the request had no
/// effect.
bool isNotRun(const transport::HttpReply &Reply);

} // namespace amaranth::control

#endif
