/// \file
/// The document of a service: what operators write to steer it.
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

/// What a stage does; decides the target protocol.
enum class StageKind { Encode, Retrieve, Rerank, Generate };

/// The name of \p Kind in documents, logs and metrics.
const char *toString(StageKind Kind);

/// A back end that runs stages or calls.
struct Target {
  std::string Name_;
  std::string Address_; ///< "ip:port".
  std::string DataCentre_;
  /// The target refuses orders with a stale fencing number.
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
  int TopK_ = 4;                     ///< Documents to retrieve or to keep.
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
  double RequestsPerSecond_ = 1000; ///< Over the whole fleet.
  double Weight_ = 1;               ///< Share under contention.
};

/// Service-level objective for the burn report.
struct Objective {
  double Attainment_ = 0.995; ///< Share of accepted requests within deadline.
  Milliseconds ShortP99_{500};
};

/// One service: a pipeline (stages) or a plain service (calls).
struct ServiceDocument {
  std::string Name_;
  Milliseconds Deadline_{4000};
  bool AllowVolatile_ = false; ///< Volatile tickets during an outage.
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

/// One fault of a document or settings file.
struct DocumentFault {
  int Line_ = 0;
  std::string Key_;
  std::string Found_;
  std::string Allowed_;
};

/// Text of \p Fault with its file, for people.
std::string toString(const std::string &File, const DocumentFault &Fault);

/// A document, or every fault found in it.
struct DocumentReading {
  std::optional<ServiceDocument> Document_;
  std::vector<DocumentFault> Faults_;
};

/// Reads and checks the TOML \p Text: types, ranges, unknown keys and
/// cross-references. Reports all faults, not only the first.
DocumentReading readServiceDocument(std::string_view Text);

/// A document as it was stored, with the revision that orders it.
struct StoredDocument {
  std::string Name_;
  std::uint64_t Revision_ = 0; ///< mod_revision of its key.
  bool Deleted_ = false;       ///< A tombstone.
  std::string ChangeId_;
  std::string Text_; ///< TOML.
};

} // namespace amaranth::state

#endif
