/// \file
/// Deletion of old at-most-once records.
#ifndef AMARANTH_COORDINATION_JANITOR_H
#define AMARANTH_COORDINATION_JANITOR_H

#include "Coordination/MemberView.h"
#include "Coordination/Session.h"
#include "Protocol/KeyValueStore.h"
#include "Support/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::coordination {

/// Settings of Janitor.
struct JanitorSettings {
  Milliseconds TicketLifetime_{600000};
  Milliseconds Retention_{600000};
  /// Added to every age, for clocks that run at different speeds.
  Milliseconds ClockRateAllowance_{60000};
  std::size_t MaxDeletions_ = 50; ///< Keys or journals in one pass.
  Milliseconds CallTimeout_{2000};
  std::function<SteadyTime()> Clock_; ///< Replaces the clock in tests.
};

/// Ends the sessions of hosts that have been dead for longer than the
/// retention and deletes journals and claims past expiry plus retention. Ages
/// are measured by the store's revisions that this process saw at earlier
/// passes, so that no clock of another host is trusted; a new janitor deletes
/// nothing until it has watched for that long.
class Janitor final {
public:
  /// \p HoldsDuty says whether this host is the janitor now.
  Janitor(JanitorSettings Settings, protocol::KeyValueStore &Store,
          const MemberView &Members, std::function<bool()> HoldsDuty);

  /// One pass: a bounded number of calls and deletions. Blocks; call it from
  /// one task at a time, every few seconds.
  void runOnce();

private:
  using HomeId = std::pair<std::string, std::uint64_t>;

  void endDeadSessions(const std::vector<SessionRecord> &Sessions);
  bool isDeadOrReplaced(const SessionRecord &Record) const;
  void deleteClosedJournals(const protocol::RangeResult &Index);
  void deleteSegments(const std::vector<SessionRecord> &Sessions);
  void deleteClaims();
  void recordRevision(std::uint64_t Revision);
  bool mayDeleteMore() const;
  SteadyTime now() const;

  JanitorSettings Settings_;
  protocol::KeyValueStore &Store_;
  const MemberView &Members_;
  std::function<bool()> HoldsDuty_;
  std::map<HomeId, SteadyTime> DeadSince_;
  /// When the store had which revision, oldest first.
  std::deque<std::pair<SteadyTime, std::uint64_t>> ObservedRevisions_;
  /// Keys last written at or before this revision are past expiry and
  /// retention; 0 if that is not known of any.
  std::uint64_t ExpiredRevision_ = 0;
  std::size_t NextSessionIndex_ = 0;
  unsigned NextShard_ = 0;
  std::size_t DeletionsInPass_ = 0; ///< In this pass.
};

} // namespace amaranth::coordination

#endif
