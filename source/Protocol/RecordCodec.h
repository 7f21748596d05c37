/// \file
/// Interface for decoding the records that operators and targets write to the
/// store.
#ifndef AMARANTH_PROTOCOL_RECORDCODEC_H
#define AMARANTH_PROTOCOL_RECORDCODEC_H

#include "State/RoutingTable.h"
#include "State/TargetRecord.h"
#include "Support/Error.h"

#include <optional>
#include <string>

namespace amaranth::protocol {

/// Decodes records of the store. Errors are CorruptData; the message names the
/// fault.
class RecordCodec {
public:
  virtual ~RecordCodec() = default;

  /// Key of the operators' configuration, and prefix of the keys of the
  /// targets' records.
  virtual std::string configurationKey() const = 0;
  virtual std::string targetPrefix() const = 0;
  /// Prefix of the operators' keys, the configuration's among them.
  virtual std::string operatorPrefix() const = 0;
  /// The data centre that \p Key evacuates, also an empty name; nothing if the
  /// key is none for evacuations.
  virtual std::optional<std::string>
  evacuatedDataCentre(const std::string &Key) const = 0;

  virtual Result<state::RoutingTable>
  readConfiguration(const std::string &Value) const = 0;
  virtual Result<state::TargetRecord>
  readTarget(const std::string &Key, const std::string &Value) const = 0;
};

} // namespace amaranth::protocol

#endif
