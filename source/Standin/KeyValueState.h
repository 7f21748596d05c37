/// \file
/// The keys, leases and history of the key-value stand-in.
#ifndef AMARANTH_STANDIN_KEYVALUESTATE_H
#define AMARANTH_STANDIN_KEYVALUESTATE_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace amaranth::standin {

/// One stored pair, as etcd v3 defines its fields.
struct StoredPair {
  std::string Key_;
  std::string Value_;
  std::int64_t CreateRevision_ = 0;
  std::int64_t ModRevision_ = 0;
  std::int64_t Version_ = 0;
  std::int64_t LeaseId_ = 0;
};

/// A set of keys by etcd's convention: an empty End_ means the single key, one
/// zero byte means every key from Key_ on, else keys in [Key_, End_).
struct KeyRange {
  std::string Key_;
  std::string End_;

  bool contains(const std::string &Key) const;
};

struct RangeQuery {
  KeyRange Range_;
  std::int64_t Limit_ = 0; ///< 0 for no limit.
  bool KeysOnly_ = false;
  bool CountOnly_ = false;
};

struct RangeAnswer {
  std::vector<StoredPair> Pairs_;
  std::int64_t Count_ = 0; ///< Pairs in the range, whatever the limit.
  bool More_ = false;
};

struct PutWrite {
  std::string Key_;
  std::string Value_;
  std::int64_t LeaseId_ = 0;
};

struct PutAnswer {};

struct DeleteWrite {
  KeyRange Range_;
};

struct DeleteAnswer {
  std::int64_t Deleted_ = 0;
};

using Operation = std::variant<RangeQuery, PutWrite, DeleteWrite>;
using OperationAnswer = std::variant<RangeAnswer, PutAnswer, DeleteAnswer>;

/// A condition of a transaction. An absent key compares with zero numbers and
/// never equals a value.
struct KeyComparison {
  enum class Target { Version, Create, Mod, Value, Lease };
  enum class Relation { Equal, Greater, Less, NotEqual };
  std::string Key_;
  Target Target_ = Target::Version;
  Relation Relation_ = Relation::Equal;
  std::int64_t Number_ = 0;
  std::string Value_;
};

struct KeyTransaction {
  std::vector<KeyComparison> Comparisons_;
  std::vector<Operation> Success_;
  std::vector<Operation> Failure_;
};

struct TransactionAnswer {
  bool Succeeded_ = false;
  std::vector<OperationAnswer> Answers_;
  std::int64_t Revision_ = 0;
  std::vector<std::string> WrittenKeys_;
};

/// A change, for watches.
struct KeyEvent {
  bool Deleted_ = false;
  StoredPair Pair_;
};

/// The changes of one revision.
struct RevisionEvents {
  std::int64_t Revision_ = 0;
  std::vector<KeyEvent> Events_;
};

/// Semantics of the etcd v3 store: one revision for each writing transaction,
/// leases that delete their keys, and a history for watches. Thread-safe.
class KeyValueState final {
public:
  /// Keeps the last \p HistoryLimit revisions for watches.
  explicit KeyValueState(std::size_t HistoryLimit);

  /// NotFound if a put names an unknown lease, InvalidArgument if a key is put
  /// twice, is empty, or its value is larger than 1 MB.
  Result<TransactionAnswer> commit(const KeyTransaction &Request);

  /// Grants a lease; \p Id 0 lets the store choose. Conflict if \p Id exists.
  Result<std::int64_t> grant(std::int64_t Id, Seconds TimeToLive);
  /// Renews and returns the time to live, or 0 if the lease has expired.
  Seconds keepAlive(std::int64_t Id);
  /// NotFound if there is no such lease.
  Result<void> revoke(std::int64_t Id);
  /// Deletes the keys of leases whose time has passed.
  void expireLeases();

  std::int64_t revision() const;

  /// Lowest revision that events() can still return.
  std::int64_t firstKept() const;

  /// The changes in \p Range from \p FromRevision on.
  std::vector<RevisionEvents> events(const KeyRange &Range,
                                     std::int64_t FromRevision) const;

  std::vector<StoredPair> dump() const;

private:
  struct Lease {
    Seconds TimeToLive_;
    SteadyTime Expiry_;
    std::set<std::string> Keys_;
  };
  using Events = std::vector<KeyEvent>;
  using Operations = std::vector<Operation>;

  bool holds(const KeyComparison &Comparison) const;
  Result<void> check(const Operations &Writes) const;
  RangeAnswer range(const RangeQuery &Query) const;
  void put(const PutWrite &Write, std::int64_t Revision, Events &Changes);
  DeleteAnswer erase(const KeyRange &Range, std::int64_t Revision,
                     Events &Changes);
  void drop(const std::string &Key, std::int64_t Revision, Events &Changes);
  void endLease(std::int64_t Id);
  void expireLocked();
  void append(Events Changes);

  const std::size_t HistoryLimit_;
  mutable std::mutex Mutex_;
  std::map<std::string, StoredPair> Pairs_;
  std::map<std::int64_t, Lease> Leases_;
  std::deque<RevisionEvents> History_;
  std::int64_t Revision_ = 1;
  std::int64_t FirstKept_ = 2;
  std::int64_t NextLeaseId_ = 7000;
};

} // namespace amaranth::standin

#endif
