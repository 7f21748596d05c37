/// \file
/// Applies the records of the operators: configuration and evacuations.
#ifndef AMARANTH_SERVING_OPERATORRECORDS_H
#define AMARANTH_SERVING_OPERATORRECORDS_H

#include "Protocol/PlatformStore.h"
#include "Protocol/RecordCodec.h"
#include "Serving/EntryContext.h"
#include "Serving/SendPermits.h"

#include <string>

namespace amaranth::serving {

/// Puts the operators' records in force. The configuration is used once all
/// records are known: evacuations are in force for the first request.
class OperatorRecords final {
public:
  OperatorRecords(EntryContext &Context, SendPermits &Permits,
                  const protocol::RecordCodec &Codec)
      : Context_(Context), Permits_(Permits), Codec_(Codec) {}

  void apply(const protocol::StoreItem &Item);
  /// All records are known.
  void onComplete();
  /// All targets are known: reports evacuations of data centres without any.
  void onTargetsLoaded();

private:
  void applyConfiguration(const protocol::StoreItem &Item);
  void applyEvacuation(const std::string &DataCentre,
                       const protocol::StoreItem &Item);
  /// Logs an evacuation of a data centre in which no target is registered.
  void reportUnknownDataCentre(const std::string &DataCentre);

  EntryContext &Context_;
  SendPermits &Permits_;
  const protocol::RecordCodec &Codec_;
  state::RoutingTablePtr LatestTable_; ///< The newest configuration.
  bool IsComplete_ = false;
  bool TargetsLoaded_ = false;
};

} // namespace amaranth::serving

#endif
