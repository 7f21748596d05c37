/// \file
/// Service documents, by which operators configure services.
#ifndef AMARANTH_STATE_SERVICEDOCUMENT_H
#define AMARANTH_STATE_SERVICEDOCUMENT_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::state {

/// Work of a stage; determines the protocol to its targets.
enum class StageKind { Encode, Retrieve, Rerank, Generate };

/// Returns the name of \p Kind in documents, logs and metrics.
const char *toString(StageKind Kind);

/// A back end that runs stages or calls.
struct Target {
  std::string Name_;
  std::string Address_; ///< "ip:port".
  std::string DataCentre_;
  /// The target rejects orders with a stale fencing number.
  bool ChecksFencing_ = false;
  /// The target answers GET /v1/load.
  bool ReportsLoad_ = true;
};

/// One stage of a pipeline.
struct Stage {
  std::string Name_;
  StageKind Kind_ = StageKind::Generate;
  std::string Model_;
  std::vector<std::string> Targets_; ///< Names of Target entries.
  /// Number of documents to retrieve, or to keep when reranking.
  int TopK_ = 4;
};

/// One call of a plain service.
struct PlainCall {
  std::string Name_;
  bool Idempotent_ = false;
  std::vector<std::string> Targets_; ///< Names of Target entries.
};

/// A client account that may use the service.
struct ClientAccount {
  std::string Name_;
  std::string KeyDigest_;           ///< SHA-256 of the bearer key, in hex.
  double RequestsPerSecond_ = 1000; ///< For the fleet as a whole.
  double Weight_ = 1;               ///< Relative share under contention.
};

/// Service-level objective for the burn report (of error budget use).
struct Objective {
  /// Share of accepted requests to be answered within their deadline.
  double Attainment_ = 0.995;
  Milliseconds ShortP99_{500};
};

/// One service: a pipeline (stages) or a plain service (calls).
struct ServiceDocument {
  std::string Name_;
  Milliseconds Deadline_{4000};
  /// Issues volatile tickets during an outage of the key-value service. A
  /// ticket binds an idempotency key to its home, the daemon incarnation that
  /// alone may run its requests. Requests of a volatile ticket are recorded
  /// only in the memory of the home.
  bool AllowVolatile_ = false;
  std::vector<Stage> Stages_;
  std::vector<PlainCall> Calls_;
  std::vector<Target> Targets_;
  std::vector<ClientAccount> Accounts_;
  Objective Objective_;

  bool isPipeline() const { return !Stages_.empty(); }
  const Target *findTarget(std::string_view Name) const;
  const PlainCall *findCall(std::string_view Name) const;
  const ClientAccount *findAccountByDigest(std::string_view KeyDigest) const;
};

/// One error in a document or settings file: the value found and what is
/// allowed instead.
struct DocumentFault {
  int Line_ = 0;
  std::string Key_;
  std::string Found_;
  std::string Allowed_;
};

/// Formats \p Fault of \p File as a message for people.
std::string toString(const std::string &File, const DocumentFault &Fault);

/// The parsed document, or all faults found in it.
struct DocumentReadResult {
  std::optional<ServiceDocument> Document_;
  std::vector<DocumentFault> Faults_;
};

/// Parses the TOML \p Text and validates types, ranges, unknown keys and
/// cross-references. Reports all faults, not only the first.
DocumentReadResult readServiceDocument(std::string_view Text);

/// A document as stored in the key-value service.
struct StoredDocument {
  std::string Name_;
  std::uint64_t Revision_ = 0; ///< mod_revision of its key; orders changes.
  bool Deleted_ = false;       ///< True for a tombstone.
  std::string ChangeId_;
  std::string Text_; ///< TOML.
};

} // namespace amaranth::state

#endif
