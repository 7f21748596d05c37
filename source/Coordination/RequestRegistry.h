/// \file
/// Keyed requests seen at this home.
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
  /// Time for which a key is kept after its expiry.
  Milliseconds Retention_{600000};
  std::size_t MaxEntries_ = 100000;
  /// Bound on all bodies together, in bytes; the oldest are dropped first.
  std::size_t MaxBodyBytes_ = 64 * 1024 * 1024;
};

/// A key as its caller presented it.
struct RegistryKey {
  std::string Identity_;      ///< requestIdentity() of the request.
  std::string ContentDigest_; ///< contentDigest(); empty in a look-up.
  Milliseconds Expiry_{0};    ///< On the ticket clock of this host.
};

/// Remembers every key seen at this home until its expiry plus retention, and
/// lets a key run once. Running keys are never forgotten. At the bound on
/// entries a new key is neither run nor recorded, and its answer is `unknown`,
/// because it may still run when it is sent again. Thread-safe.
class RequestRegistry final {
public:
  /// \p Now is the ticket clock of this host; it never goes back.
  RequestRegistry(RequestRegistrySettings Settings,
                  std::function<Milliseconds()> Now);

  /// Starts \p Key, or answers it. None means that it is now running and that
  /// the caller must end it by finish() or withdraw(). A key that is running
  /// already is waited for until \p Deadline. A key that was never seen and
  /// has expired is refused.
  std::optional<protocol::RequestOutcome> begin(const RegistryKey &Key,
                                                SteadyTime Deadline);

  /// Ends a running key for good. An outcome of NotRun is final as well.
  void finish(const std::string &Identity,
              const protocol::RequestOutcome &Outcome);

  /// Ends a running key that was not dispatched here and forgets it; those who
  /// wait for it get \p Outcome.
  void withdraw(const std::string &Identity,
                const protocol::RequestOutcome &Outcome);

  /// The state of a key; none if it was never seen or is forgotten. Waits for
  /// a running key until \p Deadline.
  std::optional<protocol::RequestOutcome> find(const RegistryKey &Key,
                                               SteadyTime Deadline);

  /// As find(), but answers for a key that is not there: `not_run` between its
  /// expiry and the end of its retention, and `unknown` otherwise. One step,
  /// so that no key starts between the search and the reading of the clock.
  protocol::RequestOutcome lookUp(const RegistryKey &Key, SteadyTime Deadline);

  /// True when a tenth of the entries or less is free; no tickets are issued
  /// then.
  bool isAlmostFull() const;

  std::size_t size() const;

private:
  struct Entry {
    std::string ContentDigest_;
    Milliseconds Expiry_{0};
    std::optional<protocol::RequestOutcome> Outcome_; ///< None while running.
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
  std::deque<std::weak_ptr<Entry>>
      EntriesWithBody_; ///< Entries with bodies, by age.
  std::size_t BodyBytes_ = 0;
};

} // namespace amaranth::coordination

#endif
