/// \file
/// The targets that have registered themselves.
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
  /// Records that expired while the store was away return within this time
  /// after it; the platform states two seconds. A record that is still missing
  /// then is gone.
  Milliseconds ReturnTime_{1900};
  /// How long a removed record is remembered, so that an older copy from a
  /// peer does not bring it back.
  Milliseconds RemovalMemory_{60000};
};

/// One record with the store's revision that brought it.
struct TargetChange {
  std::string Id_;
  std::uint64_t Revision_ = 0;
  /// Empty when the record was removed or cannot be read.
  std::optional<state::TargetRecord> Record_;
};

/// Keeps the targets' records in the order of the store's revisions, whether
/// they come from the store or from a peer. A target seen leaving stays leaving
/// for its incarnation.
class TargetRegistry final {
public:
  explicit TargetRegistry(TargetRegistrySettings Settings = {});

  void apply(const TargetChange &Change, SteadyTime Now);
  /// The store does not answer; or it does again.
  void onStoreLost();
  void onStoreBack(SteadyTime Now);
  /// Drops records that have stayed missing. Call often.
  void expire(SteadyTime Now);

  /// Targets of \p Service that may get new work.
  std::vector<const state::TargetRecord *>
  serving(const std::string &Service) const;
  /// A target that may get new work, or null.
  const state::TargetRecord *find(const std::string &Id) const;
  std::size_t size() const { return Records_.size(); }

private:
  struct Entry {
    std::uint64_t Revision_ = 0;
    std::optional<state::TargetRecord> Record_;
    std::optional<SteadyTime> MissingUntil_;
    SteadyTime Changed_;
  };

  void remove(Entry &Of, std::uint64_t Revision, SteadyTime Now);

  TargetRegistrySettings Settings_;
  std::map<std::string, Entry> Records_;
  std::map<std::string, std::set<std::string>> ByService_;
  bool StoreLost_ = false;
  SteadyTime DoubtUntil_{};
};

} // namespace amaranth::coordination

#endif
