/// \file
/// The key that makes a host's journal writable.
#ifndef AMARANTH_COORDINATION_SESSION_H
#define AMARANTH_COORDINATION_SESSION_H

#include "Protocol/KeyValueStore.h"
#include "Support/Error.h"
#include "Support/Time.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace amaranth::coordination {

/// Value of a session key.
struct SessionRecord {
  std::string Host_;
  std::string DataCentre_;
  std::string CallerAddress_;
  std::string PeerAddress_;
  std::uint64_t Incarnation_ = 0;
};

/// A session that exists in the key-value service.
struct OpenSession {
  std::uint64_t Incarnation_ = 0;
  /// Revision at which the key was created. Appends name it, so that a
  /// delayed repetition of the creation cannot make them valid again.
  std::uint64_t CreateRevision_ = 0;
};

/// Learns the incarnation of this host; called on the session's thread.
class SessionListener {
public:
  virtual ~SessionListener() = default;
  /// The session is open under \p Incarnation.
  virtual void onSessionOpen(std::uint64_t Incarnation) = 0;
};

/// Settings of Session.
struct SessionSettings {
  /// This host; its Incarnation_ is the first one tried, 0 for the wall clock.
  SessionRecord Self_;
  Milliseconds RetryDelay_{500}; ///< Between attempts to create the key.
  Milliseconds CallTimeout_{2000};
};

/// Owns `/amaranth/sessions/<host>/<incarnation>`: creates it, creates another
/// under a higher incarnation when it was deleted, deletes it at exit. The key
/// has no lease, so that an idle fleet makes no key-value calls. Thread-safe.
class Session final {
public:
  /// \p Listener may be null; it outlives the session.
  Session(SessionSettings Settings, protocol::KeyValueStore &Store,
          SessionListener *Listener);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// The session, or none before its creation and after its deletion.
  std::optional<OpenSession> current() const;

  /// The incarnation of the open session or the one being tried.
  std::uint64_t incarnation() const;

  /// True if the last attempt to create the key got no answer.
  bool isUnavailable() const;

  const SessionRecord &self() const { return Settings_.Self_; }

  /// The session of \p Incarnation does not exist any more; opens another.
  void reportDeleted(std::uint64_t Incarnation);

  /// Waits until the session is open; false on timeout.
  bool waitOpen(Milliseconds Timeout) const;

  /// Deletes the session and creates no other. Unavailable or Ambiguous if the
  /// key-value service did not confirm it within \p Timeout; survivors then
  /// delete it.
  Result<void> close(Milliseconds Timeout);

  /// Key of a session.
  static std::string sessionKey(const std::string &Host,
                                std::uint64_t Incarnation);

  /// The transaction that ends a session for good: deletes its key, if it
  /// exists, and marks its journal closed. A journal without that mark may be
  /// incomplete or gone, so that a missing intent in it proves nothing.
  static protocol::Transaction closeTransaction(const std::string &Host,
                                                std::uint64_t Incarnation);

  /// Every session, for seeding membership; unreadable values are skipped.
  static Result<std::vector<SessionRecord>>
  readSessions(protocol::KeyValueStore &Store, Milliseconds Timeout);

  /// One session, or none.
  static Result<std::optional<SessionRecord>>
  readSession(protocol::KeyValueStore &Store, const std::string &Host,
              std::uint64_t Incarnation, Milliseconds Timeout);

private:
  void run();
  void tryCreate(std::unique_lock<std::mutex> &Lock);

  SessionSettings Settings_;
  protocol::KeyValueStore &Store_;
  SessionListener *Listener_;
  std::string Instance_; ///< Random; tells processes of one host apart.
  mutable std::mutex Mutex_;
  mutable std::condition_variable StateChanged_;
  std::uint64_t Incarnation_ = 0;
  std::optional<OpenSession> Open_;
  bool Unavailable_ = false;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace amaranth::coordination

#endif
