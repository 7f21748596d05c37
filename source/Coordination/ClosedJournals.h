/// \file
/// Journals of homes that have ended.
#ifndef AMARANTH_COORDINATION_CLOSEDJOURNALS_H
#define AMARANTH_COORDINATION_CLOSEDJOURNALS_H

#include "Coordination/Journal.h"
#include "Protocol/KeyValueStore.h"
#include "Support/Time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace amaranth::coordination {

/// Settings of ClosedJournals.
struct ClosedJournalsSettings {
  std::size_t MaxJournals_ = 16; ///< Journals kept in memory.
  Milliseconds CallTimeout_{1000};
};

/// Ends the sessions of dead homes and caches their journals. No intent can be
/// added to a closed journal, so it is read only once. Thread-safe.
class ClosedJournals final {
public:
  using Content = std::shared_ptr<const JournalContent>;

  ClosedJournals(ClosedJournalsSettings Settings,
                 protocol::KeyValueStore &Store);

  /// The journal of \p Incarnation of \p Host if it is closed; null if it is
  /// not, if the key-value service does not answer, or if the journal has been
  /// deleted. With \p MayEndSession an open session is ended first; this is
  /// allowed only if the home is known to be dead or replaced.
  Content read(const std::string &Host, std::uint64_t Incarnation,
               bool MayEndSession, SteadyTime Deadline);

private:
  using HomeId = std::pair<std::string, std::uint64_t>;

  /// Cache entry of one journal. One thread reads it, and the others wait.
  struct Slot {
    bool Loading_ = false;
    Content Content_;
  };

  std::shared_ptr<Slot> findOrAddSlot(const HomeId &Home);
  Content load(const HomeId &Home, bool MayEndSession, SteadyTime Deadline);
  Milliseconds callTimeout(SteadyTime Deadline) const;

  ClosedJournalsSettings Settings_;
  protocol::KeyValueStore &Store_;
  std::mutex Mutex_;
  std::condition_variable LoadEnded_;
  std::map<HomeId, std::shared_ptr<Slot>> Slots_;
  std::deque<HomeId> InsertionOrder_; ///< Oldest first.
};

} // namespace amaranth::coordination

#endif
