/// \file
/// Requests with idempotency keys that this home has seen. The home is the
/// daemon incarnation that alone may run requests whose key names it.
#ifndef AMARANTH_COORDINATION_REQUESTREGISTRY_H
#define AMARANTH_COORDINATION_REQUESTREGISTRY_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace amaranth::coordination {

/// Settings of RequestRegistry.
struct RequestRegistrySettings {
  /// Time for which an ended key is kept after its expiry.
  Milliseconds Retention_{600000};
  std::size_t MaxEntries_ = 100000;
  /// Bound on the sum of all bodies, in bytes; the oldest are dropped first.
  std::size_t MaxBodyBytes_ = 64 * 1024 * 1024;
};

/// A key as the caller sent it.
struct RegistryKey {
  std::string Identity_;      ///< requestIdentity() of the request.
  std::string ContentDigest_; ///< contentDigest(); empty in a look-up.
  Milliseconds Expiry_{0};    ///< On the ticket clock of this host.
};

/// Keeps every key seen at this home until its expiry plus retention, and
/// allows each to run once. Running keys are never removed. At MaxEntries_ a
/// new key is neither run nor recorded, and its answer is `unknown`, because it
/// may still run when it is sent again. Thread-safe.
class RequestRegistry final {
public:
  /// \p Now returns the ticket clock of this host, which is monotonic.
  RequestRegistry(RequestRegistrySettings Settings,
                  std::function<Milliseconds()> Now);

  /// Marks a new key as running and returns nullopt; the caller must then call
  /// finish() or withdraw(). Otherwise returns the answer: waits until
  /// \p Deadline for a key that is already running, and refuses an expired key
  /// that was never seen.
  std::optional<protocol::RequestOutcome> begin(const RegistryKey &Key,
                                                SteadyTime Deadline);

  /// Sets the final outcome of a running key; NotRun is final too.
  void finish(const std::string &Identity,
              const protocol::RequestOutcome &Outcome);

  /// Removes a running key that did not run here; calls that wait for it return
  /// \p Outcome.
  void withdraw(const std::string &Identity,
                const protocol::RequestOutcome &Outcome);

  /// The outcome of a key; nullopt if it was never seen or has been removed.
  /// Waits for a running key until \p Deadline.
  std::optional<protocol::RequestOutcome> find(const RegistryKey &Key,
                                               SteadyTime Deadline);

  /// As find(), but returns an outcome for a key that is not present: `not_run`
  /// between its expiry and the end of its retention, `unknown` otherwise.
  /// Holds the lock throughout, so that no key starts between the search and
  /// the reading of the clock.
  protocol::RequestOutcome lookUp(const RegistryKey &Key, SteadyTime Deadline);

  /// True if at most a tenth of MaxEntries_ is free; no tickets are issued
  /// then.
  bool isAlmostFull() const;

  std::size_t size() const;

private:
  struct Entry {
    std::string ContentDigest_;
    Milliseconds Expiry_{0};
    /// Nullopt while running.
    std::optional<protocol::RequestOutcome> Outcome_;
    std::condition_variable OutcomeSet_;
  };
  using EntryPointer = std::shared_ptr<Entry>;

  protocol::RequestOutcome waitForOutcome(std::unique_lock<std::mutex> &Lock,
                                          const EntryPointer &Found,
                                          const RegistryKey &Key,
                                          SteadyTime Deadline);
  EntryPointer end(const std::string &Identity,
                   const protocol::RequestOutcome &Outcome);
  protocol::RequestOutcome outcomeOfAbsentKey(Milliseconds Now,
                                              Milliseconds Expiry) const;
  void removeExpired(Milliseconds Now);
  void dropExcessBodies();

  RequestRegistrySettings Settings_;
  std::function<Milliseconds()> Now_;
  mutable std::mutex Mutex_;
  std::unordered_map<std::string, EntryPointer> Entries_; ///< By identity.
  std::multimap<Milliseconds, std::string> ByExpiry_;
  std::deque<std::weak_ptr<Entry>> EntriesWithBody_; ///< Oldest first.
  std::size_t BodyBytes_ = 0;
};

} // namespace amaranth::coordination

#endif
