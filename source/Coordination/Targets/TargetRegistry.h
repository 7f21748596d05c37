/// \file
/// Registry of the targets that have registered themselves in the store.
#ifndef AMARANTH_COORDINATION_TARGETS_TARGETREGISTRY_H
#define AMARANTH_COORDINATION_TARGETS_TARGETREGISTRY_H

#include "State/TargetRecord.h"
#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of TargetRegistry.
struct TargetRegistrySettings {
  /// Records that expired while the store was unreachable reappear within this
  /// time after it answers again; the platform states two seconds. Records that
  /// are still missing then are removed.
  Milliseconds ReturnGracePeriod_{1900};
  /// After an interruption shorter than this, records that are missing are
  /// removed at once: none can have expired. Other hosts of the fleet may have
  /// been cut off from the store, while targets left.
  Milliseconds ShortInterruption_{0};
  /// How long a removal is remembered, so that an older copy from a peer does
  /// not restore the record.
  Milliseconds RemovalRetention_{60000};
  /// Records of a restored store that are older than what is known are withheld
  /// for this long: those of removed targets and of earlier incarnations. If
  /// the target has ended, the store removes the record meanwhile; if not, the
  /// target may write it again sooner.
  Milliseconds ReappearanceDelay_{4800};
};

/// A changed record, with the store's revision of the change.
struct TargetChange {
  std::string Id_;
  std::uint64_t Revision_ = 0;
  /// Empty if the record was removed.
  std::optional<state::TargetRecord> Record_;
  std::uint64_t Era_ = 0; ///< The store's era that gave out Revision_.
};

/// Keeps the newest record of each target by the store's era and revision,
/// whether it comes from the store or from a peer. A target that was leaving
/// once counts as leaving until it registers with a new incarnation.
///
/// A store that was restored from a copy holds older records until the targets
/// have written theirs again. Such a record neither replaces one of a later
/// incarnation nor brings back a target that was removed.
class TargetRegistry final {
public:
  explicit TargetRegistry(TargetRegistrySettings Settings = {});

  /// False if the change is older than what is known, or withheld.
  bool apply(const TargetChange &Change, SteadyTime Now);
  /// The store was restored from a copy: records that it lacks are kept as
  /// missing for ReturnGracePeriod_. Call before the records are applied.
  void onStoreRestored(SteadyTime Now);
  /// Returns the changes that were withheld and are due; apply them. Call
  /// often.
  std::vector<TargetChange> takeReappeared(SteadyTime Now);
  /// The store has stopped, or resumed, answering. While it does not answer and
  /// for ReturnGracePeriod_ after that, removed records are kept as missing.
  void onStoreDisconnected(SteadyTime Now);
  void onStoreReconnected(SteadyTime Now);
  /// Removes records that are still missing after the grace period and returns
  /// their ids. Call often.
  std::vector<std::string> expire(SteadyTime Now);

  /// Targets of \p Service that may get new work.
  std::vector<const state::TargetRecord *>
  serving(const std::string &Service) const;
  /// A target that may get new work, or null.
  const state::TargetRecord *find(const std::string &Id) const;
  /// The record of a target, also of one that may get no new work, or null.
  const state::TargetRecord *findRecord(const std::string &Id) const;
  /// Whether a target of \p DataCentre is registered.
  bool hasTargetIn(const std::string &DataCentre) const;
  /// Records of targets that are draining.
  std::vector<state::TargetRecord> leaving() const;
  std::size_t size() const { return Records_.size(); }

private:
  struct Entry {
    std::uint64_t Revision_ = 0;
    std::optional<state::TargetRecord> Record_;
    /// Set while the record is missing from the store but still in use.
    std::optional<SteadyTime> RemoveAt_;
    SteadyTime ChangedAt_;
    std::uint64_t Era_ = 0;
    /// Of the record that was removed last.
    std::optional<std::int64_t> RemovedIncarnation_;
    bool WasRemovedDraining_ = false; ///< It was draining.
  };
  struct WithheldChange {
    TargetChange Change_;
    SteadyTime AppliesAt_;
  };

  /// Whether \p Change is older than what is known, or the same.
  static bool isOutdated(const Entry &Target, const TargetChange &Change);
  static bool isFromLaterEra(const Entry &Target, const TargetChange &Change);
  /// Withholds a record of a restored store that is older than what is known.
  bool withhold(const Entry &Target, const TargetChange &Change,
                SteadyTime Now);
  void remove(Entry &Target, SteadyTime Now);
  void dropRecord(Entry &Target);

  TargetRegistrySettings Settings_;
  std::map<std::string, Entry> Records_;
  std::map<std::string, std::set<std::string>> ByService_;
  std::map<std::string, WithheldChange> Withheld_; ///< By target.
  /// Set while the store does not answer.
  std::optional<SteadyTime> DisconnectedAt_;
  SteadyTime GracePeriodEnd_{};
};

} // namespace amaranth::coordination

#endif
