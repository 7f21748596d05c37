/// \file
/// Applies the records of the operators: configuration and evacuations.
#ifndef AMARANTH_SERVING_OPERATORRECORDS_H
#define AMARANTH_SERVING_OPERATORRECORDS_H

#include "Protocol/PlatformStore.h"
#include "Protocol/RecordCodec.h"
#include "Serving/EntryContext.h"
#include "Serving/SendPermits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Puts the operators' records in force. The configuration is used once all
/// records are known: evacuations are in force for the first request.
///
/// A store that was restored from a copy holds older records until the
/// operators have written theirs again. A configuration of a lower version
/// never replaces the one in force, and evacuations that the copy lacks are
/// kept for RewriteTime.
class OperatorRecords final {
public:
  OperatorRecords(EntryContext &Context, SendPermits &Permits,
                  const protocol::RecordCodec &Codec)
      : Context_(Context), Permits_(Permits), Codec_(Codec) {}

  /// Time within which operators write records again that a restored store
  /// lacks.
  static constexpr Milliseconds RewriteTime{10000};

  void apply(const protocol::StoreItem &Item);
  /// The store was restored from a copy. Call before its records are applied.
  void onStoreRestored(SteadyTime Now);
  /// The newest configuration; null if none is known.
  const state::RoutingTablePtr &latestTable() const { return LatestTable_; }
  /// The configuration and the evacuations in force, as records.
  std::vector<protocol::StoreItem> inForce() const;
  /// Applies what is in force on another host that has seen a restore. Only a
  /// host that has just started uses the evacuations, which end if the
  /// operators do not write them again.
  void mergeInForce(const std::vector<protocol::StoreItem> &Items,
                    SteadyTime Now);
  /// Ends evacuations that were not written again. Call often.
  void expire(SteadyTime Now);
  /// All records are known.
  void onComplete();
  /// All targets are known: reports evacuations of data centres without any.
  void onTargetsLoaded();

private:
  void applyConfiguration(const protocol::StoreItem &Item);
  void applyEvacuation(const std::string &DataCentre,
                       const protocol::StoreItem &Item);
  void endEvacuation(const std::string &DataCentre, std::uint64_t Revision);
  /// Logs an evacuation of a data centre in which no target is registered.
  void reportUnknownDataCentre(const std::string &DataCentre);

  EntryContext &Context_;
  SendPermits &Permits_;
  const protocol::RecordCodec &Codec_;
  state::RoutingTablePtr LatestTable_;      ///< The newest configuration.
  protocol::StoreItem LatestConfiguration_; ///< The record of LatestTable_.
  /// Records of the evacuations in force, by data centre.
  std::map<std::string, protocol::StoreItem> Evacuations_;
  bool IsComplete_ = false;
  bool TargetsLoaded_ = false;
  /// The records of a restored store are being applied.
  bool IsRestoring_ = false;
  /// Until when evacuations of other hosts are used; empty before the records
  /// are complete.
  std::optional<SteadyTime> MergesUntil_;
  /// End of the time in which records that are missing may be written again.
  SteadyTime RewrittenBy_{};
  /// Evacuated data centres whose records are missing since a restore.
  std::set<std::string> MissingEvacuations_;
};

} // namespace amaranth::serving

#endif
