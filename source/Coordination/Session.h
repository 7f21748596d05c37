/// \file
/// The key in the key-value service that makes a host's journal writable.
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
  /// Revision at which the key was created. It is a condition of every append,
  /// so that a delayed repetition of the creation cannot make appends of an
  /// ended session valid again.
  std::uint64_t CreateRevision_ = 0;
};

/// Receives the incarnation of this host, on the session's thread.
class SessionListener {
public:
  virtual ~SessionListener() = default;
  /// The session is open under \p Incarnation.
  virtual void onSessionOpen(std::uint64_t Incarnation) = 0;
};

/// Settings of Session.
struct SessionSettings {
  /// This host. Its Incarnation_ is the first one tried; 0 takes the wall
  /// clock.
  SessionRecord Self_;
  Milliseconds RetryDelay_{500}; ///< Between attempts to create the key.
  Milliseconds CallTimeout_{2000};
};

/// Owns the key `/amaranth/sessions/<host>/<incarnation>`. Creates it, creates
/// another one with a higher incarnation if it was deleted, and deletes it at
/// exit. An incarnation is one session of a daemon, numbered in ascending order
/// per host. The key has no lease, so that an idle fleet makes no key-value
/// calls. Thread-safe.
class Session final {
public:
  /// \p Listener may be null; it outlives the session.
  Session(SessionSettings Settings, protocol::KeyValueStore &Store,
          SessionListener *Listener);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// The session; nullopt before its creation and after its deletion.
  std::optional<OpenSession> current() const;

  /// The incarnation of the open session, or the one being tried.
  std::uint64_t incarnation() const;

  /// True if the last attempt to create the key failed without an answer.
  bool isUnavailable() const;

  const SessionRecord &self() const { return Settings_.Self_; }

  /// Reports that the session of \p Incarnation no longer exists; opens
  /// another.
  void reportDeleted(std::uint64_t Incarnation);

  /// Waits until the session is open; returns false on timeout.
  bool waitOpen(Milliseconds Timeout) const;

  /// Deletes the session and creates no other. Fails with Unavailable or
  /// Ambiguous if the key-value service did not confirm the deletion within
  /// \p Timeout; another host then deletes the session.
  Result<void> close(Milliseconds Timeout);

  /// Key of a session.
  static std::string sessionKey(const std::string &Host,
                                std::uint64_t Incarnation);

  /// The transaction that ends a session for good: on condition that its key
  /// exists, deletes the key and marks its journal as closed. A journal without
  /// that mark may be incomplete or deleted, so a missing intent in it does not
  /// prove that a request did not run.
  static protocol::Transaction closeTransaction(const std::string &Host,
                                                std::uint64_t Incarnation);

  /// All sessions, for seeding membership; skips malformed values.
  static Result<std::vector<SessionRecord>>
  readSessions(protocol::KeyValueStore &Store, Milliseconds Timeout);

  /// One session; nullopt if it does not exist or its value is malformed.
  static Result<std::optional<SessionRecord>>
  readSession(protocol::KeyValueStore &Store, const std::string &Host,
              std::uint64_t Incarnation, Milliseconds Timeout);

private:
  void run();
  void tryCreate(std::unique_lock<std::mutex> &Lock);

  SessionSettings Settings_;
  protocol::KeyValueStore &Store_;
  SessionListener *Listener_;
  std::string Instance_; ///< Random; distinguishes processes of one host.
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
