/// \file
/// Deletion of expired at-most-once records from the key-value service.
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
  /// Added to every age, because clocks of hosts run at different rates.
  Milliseconds ClockRateAllowance_{60000};
  std::size_t MaxDeletions_ = 50; ///< Keys or journals per pass.
  Milliseconds CallTimeout_{2000};
  std::function<SteadyTime()> Clock_; ///< Replaces the clock in tests.
};

/// Ends the sessions of hosts that have been dead for longer than the retention
/// and deletes journals and claims past expiry plus retention. Measures ages by
/// recording which store revision each earlier pass saw, so that it needs no
/// clock of another host. A new janitor therefore deletes nothing until it has
/// run for the full age.
class Janitor final {
public:
  /// \p HoldsDuty returns whether this host holds the janitor's lease now.
  Janitor(JanitorSettings Settings, protocol::KeyValueStore &Store,
          const MemberView &Members, std::function<bool()> HoldsDuty);

  /// Runs one pass with a bounded number of calls and deletions. Blocks; call
  /// it from one task at a time, every few seconds.
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
  /// Store revisions with the time at which they were seen, oldest first.
  std::deque<std::pair<SteadyTime, std::uint64_t>> ObservedRevisions_;
  /// Keys last written at or before this revision are past expiry plus
  /// retention; 0 while no such revision is known.
  std::uint64_t ExpiredRevision_ = 0;
  std::size_t NextSessionIndex_ = 0;
  unsigned NextShard_ = 0;
  std::size_t DeletionsInPass_ = 0; ///< Keys and journals deleted in this pass.
};

} // namespace amaranth::coordination

#endif
