/// \file
/// Durable record of the requests that a home is about to run. The home is the
/// daemon incarnation that alone may run requests whose key names it.
#ifndef AMARANTH_COORDINATION_JOURNAL_H
#define AMARANTH_COORDINATION_JOURNAL_H

#include "Coordination/MemberView.h"
#include "Coordination/Session.h"
#include "Protocol/KeyValueStore.h"
#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace amaranth::coordination {

/// A request that its home is about to run.
struct Intent {
  std::string Identity_;      ///< requestIdentity() of the request.
  std::string ContentDigest_; ///< contentDigest() of the request.
  Milliseconds Expiry_{0};    ///< Of the ticket, on the home's ticket clock.
};

/// Result of an append.
enum class AppendStatus {
  Durable,  ///< The intent is in the journal, so the request may run.
  Failed,   ///< Not sent, or refused because the session was deleted.
  TimedOut, ///< No reply in time; the write may still take effect.
  Full,     ///< The queue is full.
};

/// Record of one request in a journal.
struct JournalEntry {
  std::string ContentDigest_;
  std::optional<protocol::RequestOutcome> Outcome_; ///< If recorded.
};

/// The journal of one incarnation as read from the key-value service.
struct JournalContent {
  /// The session has ended for good, so no intent can be added.
  bool Closed_ = false;
  /// A value is malformed, so a missing intent does not prove that the request
  /// did not run.
  bool Corrupt_ = false;
  /// Intents with an expiry up to this one may have been deleted.
  Milliseconds DeletedUpTo_{0};
  std::unordered_map<std::string, JournalEntry> Entries_; ///< By identity.
};

/// Settings of Journal.
struct JournalSettings {
  Milliseconds MinWriteInterval_{5}; ///< Between the starts of two writes.
  /// Journal writes per second of all alive hosts together.
  double FleetWritesPerSecond_ = 200;
  /// Longest delay of an outcome before it is written.
  Milliseconds MaxOutcomeDelay_{200};
  Milliseconds CallTimeout_{1000};
  Milliseconds RetryDelay_{50};     ///< After a write without a reply.
  Milliseconds ProbeInterval_{500}; ///< Between reads during an outage.
  /// Bound on queued intents and, separately, on queued outcomes.
  std::size_t MaxQueueLength_ = 4096;
  /// Larger bodies are not recorded, in bytes.
  std::size_t MaxBodyBytes_ = 4096;
  /// Bound on the value of one write, in bytes; the service stores up to 1 MB.
  std::size_t MaxBatchBytes_ = 512 * 1024;
};

/// Group commit of intents and outcomes under the session of this host. One
/// write is in flight at a time; the next one carries everything queued
/// meanwhile. Every write is conditional on the session key, so that none
/// succeeds after another host has deleted that key. Thread-safe.
class Journal final {
public:
  Journal(JournalSettings Settings, protocol::KeyValueStore &Store,
          Session &Session, const MemberView &Members);
  /// Fails the intents that are still queued.
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  /// Appends \p Request under \p Incarnation and waits for its batch. The
  /// request may run only if the status is Durable. After any other status it
  /// must not run, even if the write takes effect later.
  AppendStatus append(const Intent &Request, std::uint64_t Incarnation,
                      SteadyTime Deadline);

  /// Queues an outcome for a later batch. If the queue is full, drops the
  /// oldest outcome; other hosts then answer `unknown` for it once this host is
  /// dead.
  void addOutcome(const Intent &Request, std::uint64_t Incarnation,
                  const protocol::RequestOutcome &Outcome);

  /// Writes the queued outcomes without delay. Returns false if they were not
  /// all recorded within \p Timeout.
  bool flush(Milliseconds Timeout);

  /// False while the key-value service does not answer.
  bool isAvailable() const;

  /// Prefix of the keys of one incarnation.
  static std::string keyPrefix(const std::string &Host,
                               std::uint64_t Incarnation);
  /// Key that marks a journal as closed. It has the prefix of the journal, so
  /// that one read returns the mark together with the intents.
  static std::string closedKey(const std::string &Host,
                               std::uint64_t Incarnation);
  /// Prefix of the index of closed journals.
  static std::string closedIndexPrefix();
  static std::string closedIndexKey(const std::string &Host,
                                    std::uint64_t Incarnation);

  /// Reads the journal of any host.
  static Result<JournalContent> read(protocol::KeyValueStore &Store,
                                     const std::string &Host,
                                     std::uint64_t Incarnation,
                                     Milliseconds Timeout);

  /// Deletes up to \p MaxSegments segments last written at or before
  /// \p Revision and records the highest expiry among them in the same
  /// transaction. Returns the number of deleted segments; fails with Conflict
  /// if another caller deleted segments at the same time.
  static Result<std::size_t>
  deleteOldSegments(protocol::KeyValueStore &Store, const std::string &Host,
                    std::uint64_t Incarnation, std::uint64_t Revision,
                    std::size_t MaxSegments, Milliseconds Timeout);

  /// Deletes a closed journal and its entry in the index in one transaction.
  static Result<void> deleteClosedJournal(protocol::KeyValueStore &Store,
                                          const std::string &Host,
                                          std::uint64_t Incarnation,
                                          Milliseconds Timeout);

private:
  struct PendingIntent {
    Intent Intent_;
    std::uint64_t Incarnation_ = 0;
    std::optional<AppendStatus> Status_;
  };
  struct PendingOutcome {
    Intent Intent_;
    std::uint64_t Incarnation_ = 0;
    protocol::RequestOutcome Outcome_;
    SteadyTime QueuedAt_;
  };
  struct Batch {
    std::uint64_t Incarnation_ = 0;
    protocol::Transaction Write_;
    std::vector<std::shared_ptr<PendingIntent>> Intents_;
    std::vector<PendingOutcome> Outcomes_;
    bool MayHaveArrived_ = false;
  };

  void run();
  SteadyTime nextWakeUp(bool IsOpen) const;
  Milliseconds writeInterval() const;
  void probeService(std::unique_lock<std::mutex> &Lock);
  void failQueued();
  void failIntentsOfOtherIncarnations(std::uint64_t OpenIncarnation);
  void dropOutcomesOfOtherIncarnations(std::uint64_t Incarnation);
  bool assembleBatch(const OpenSession &Current);
  void writeBatch(std::unique_lock<std::mutex> &Lock);
  void handleWriteReply(const Expected<protocol::TransactionResult> &Reply);
  void completeBatch(AppendStatus Status);
  void requeueOutcomes();

  JournalSettings Settings_;
  protocol::KeyValueStore &Store_;
  Session &Session_;
  const MemberView &Members_;
  mutable std::mutex Mutex_;
  std::condition_variable WorkAvailable_; ///< Wakes the writer thread.
  std::condition_variable BatchDone_;     ///< Wakes append() and flush().
  std::deque<std::shared_ptr<PendingIntent>> QueuedIntents_;
  std::deque<PendingOutcome> QueuedOutcomes_;
  std::optional<Batch> Batch_; ///< The write in flight or to be retried.
  std::uint64_t LastSequence_ = 0;
  SteadyTime NextWrite_;
  SteadyTime NextProbe_;
  bool Available_ = true;
  bool Flushing_ = false;
  std::size_t DroppedOutcomes_ = 0; ///< Outcomes that were not recorded.
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace amaranth::coordination

#endif
