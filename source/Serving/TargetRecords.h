/// \file
/// Applies the records of the targets.
#ifndef AMARANTH_SERVING_TARGETRECORDS_H
#define AMARANTH_SERVING_TARGETRECORDS_H

#include "Protocol/PlatformStore.h"
#include "Protocol/RecordCodec.h"
#include "Serving/EntryContext.h"
#include "Serving/OperatorRecords.h"
#include "Serving/SendPermits.h"
#include "Serving/StoredStreamOrigins.h"

#include <map>
#include <string>

namespace amaranth::serving {

/// Passes the records of targets on to all that keep state about targets. A
/// record that cannot be read comes from another writer and changes nothing.
class TargetRecords final {
public:
  TargetRecords(EntryContext &Context, SendPermits &Permits,
                StoredStreamOrigins &Origins, const OperatorRecords &Operators,
                const protocol::RecordCodec &Codec)
      : Context_(Context), Permits_(Permits), Origins_(Origins),
        Operators_(Operators), Codec_(Codec) {}

  void apply(const protocol::StoreItem &Item);
  /// Applies records whose service was not in the configuration. Call when that
  /// has changed.
  void applyDeferred();
  /// Removes records that are missing for too long, and applies those that were
  /// withheld. Call often.
  void expire(SteadyTime Now);

private:
  /// Whether a record of a registered target names a service that the
  /// configuration does not have.
  bool namesUnknownService(const state::TargetRecord &Record) const;
  void applyChange(const coordination::TargetChange &Change);

  EntryContext &Context_;
  SendPermits &Permits_;
  StoredStreamOrigins &Origins_;
  const OperatorRecords &Operators_;
  const protocol::RecordCodec &Codec_;
  /// By key: records of registered targets that name a service that the
  /// configuration does not have. They are used if a later one has it.
  std::map<std::string, protocol::StoreItem> Deferred_;
};

} // namespace amaranth::serving

#endif
