/// \file
/// Interface of the platform's key-value service.
#ifndef AMARANTH_PROTOCOL_KEYVALUESTORE_H
#define AMARANTH_PROTOCOL_KEYVALUESTORE_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::protocol {

/// One stored pair with its revisions.
struct KeyValue {
  std::string Key_;
  std::string Value_;
  std::uint64_t CreateRevision_ = 0;
  std::uint64_t ModRevision_ = 0;
  std::int64_t LeaseId_ = 0;
};

/// Result of reading a range: the pairs and the store's revision.
struct RangeResult {
  std::vector<KeyValue> Pairs_;
  std::uint64_t StoreRevision_ = 0;
};

/// A condition of a transaction.
struct Compare {
  enum class Field { CreateRevision, ModRevision };
  std::string Key_;
  Field Field_ = Field::ModRevision;
  enum class Relation { Equal, Greater };
  Relation Relation_ = Relation::Equal;
  std::uint64_t Revision_ = 0;
};

/// A write of a transaction.
struct Mutation {
  enum class Kind { Put, Delete, DeletePrefix };
  Kind Kind_ = Kind::Put;
  std::string Key_;
  std::string Value_;
  std::int64_t LeaseId_ = 0; ///< 0 for none.
};

/// Writes applied together if all conditions hold.
struct Transaction {
  std::vector<Compare> Conditions_;
  std::vector<Mutation> Writes_;
  /// Keys read when the conditions do not hold.
  std::vector<std::string> ReadOnFailure_;
};

/// Result of a transaction that was answered.
struct TransactionResult {
  bool Succeeded_ = false;
  std::uint64_t StoreRevision_ = 0;
  std::vector<KeyValue> Found_; ///< The pairs read for ReadOnFailure_.
};

/// A granted lease. Its holder counts the time to live from before the call,
/// because the service may have granted it at any time since.
struct LeaseGrant {
  std::int64_t Id_ = 0;
  Milliseconds TimeToLive_{0};
};

/// One change seen by a watch.
struct WatchEvent {
  bool Deleted_ = false;
  KeyValue Pair_;
};

/// Receives the changes of a watch, on the watch's own thread.
class WatchListener {
public:
  virtual ~WatchListener() = default;
  virtual void onEvents(const std::vector<WatchEvent> &Events) = 0;
  /// The watch ended (outage, silence, compacted revision); read the range
  /// again and open a new watch.
  virtual void onWatchEnd() = 0;
};

/// An open watch; the destructor closes it and waits for its thread.
class Watch {
public:
  virtual ~Watch() = default;
};

/// The key-value service. Error codes: Unavailable, nothing was sent;
/// Ambiguous, the reply was lost and a write may have taken effect;
/// InvalidArgument, the service refused the request. Thread-safe; calls block
/// up to \p Timeout.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  /// Reads \p Key, or every key that starts with it if \p Prefix.
  virtual Result<RangeResult> range(const std::string &Key, bool Prefix,
                                    Milliseconds Timeout) = 0;
  virtual Result<TransactionResult> commit(const Transaction &Request,
                                           Milliseconds Timeout) = 0;
  virtual Result<LeaseGrant> grantLease(Seconds TimeToLive,
                                        Milliseconds Timeout) = 0;
  /// NotFound if the lease has expired.
  virtual Result<LeaseGrant> keepAlive(std::int64_t LeaseId,
                                       Milliseconds Timeout) = 0;
  virtual Result<void> revokeLease(std::int64_t LeaseId,
                                   Milliseconds Timeout) = 0;
  /// Watches keys starting with \p Prefix from \p FromRevision onward.
  virtual Result<std::unique_ptr<Watch>> watch(const std::string &Prefix,
                                               std::uint64_t FromRevision,
                                               WatchListener &Listener) = 0;
};

} // namespace amaranth::protocol

#endif
