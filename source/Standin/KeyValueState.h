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

/// A key-value pair with the fields that etcd v3 defines.
struct StoredPair {
  std::string Key_;
  std::string Value_;
  std::int64_t CreateRevision_ = 0;
  std::int64_t ModRevision_ = 0;
  std::int64_t Version_ = 0;
  std::int64_t LeaseId_ = 0;
};

/// A set of keys by etcd's convention: an empty End_ selects the single key,
/// an End_ of one zero byte selects every key from Key_ on, any other End_
/// selects the keys in [Key_, End_).
struct KeyRange {
  std::string Key_;
  std::string End_;

  bool contains(const std::string &Key) const;
};

struct RangeRequest {
  KeyRange Range_;
  std::int64_t Limit_ = 0; ///< 0 for no limit.
  bool KeysOnly_ = false;
  bool CountOnly_ = false;
};

struct RangeResponse {
  std::vector<StoredPair> Pairs_;
  std::int64_t Count_ = 0; ///< Pairs in the range, regardless of the limit.
  bool More_ = false;
};

struct PutRequest {
  std::string Key_;
  std::string Value_;
  std::int64_t LeaseId_ = 0;
};

struct PutResponse {};

struct DeleteRequest {
  KeyRange Range_;
};

struct DeleteResponse {
  std::int64_t Deleted_ = 0;
};

using Operation = std::variant<RangeRequest, PutRequest, DeleteRequest>;
using OperationResponse =
    std::variant<RangeResponse, PutResponse, DeleteResponse>;

/// A condition of a transaction. The numbers of an absent key are zero; a
/// comparison of its value is false.
struct KeyComparison {
  enum class Target { Version, Create, Mod, Value, Lease };
  enum class Relation { Equal, Greater, Less, NotEqual };
  std::string Key_;
  Target Target_ = Target::Version;
  Relation Relation_ = Relation::Equal;
  std::int64_t Number_ = 0;
  std::string Value_;
};

struct TransactionRequest {
  std::vector<KeyComparison> Comparisons_;
  std::vector<Operation> Success_;
  std::vector<Operation> Failure_;
};

struct TransactionResponse {
  bool Succeeded_ = false;
  std::vector<OperationResponse> Responses_;
  std::int64_t Revision_ = 0;
  std::vector<std::string> WrittenKeys_;
};

/// A change of one key, as watches report it.
struct KeyEvent {
  bool Deleted_ = false;
  StoredPair Pair_;
};

/// The changes of one revision.
struct RevisionEvents {
  std::int64_t Revision_ = 0;
  std::vector<KeyEvent> Events_;
};

/// Semantics of the etcd v3 store: each transaction that writes creates one
/// revision, an expired or revoked lease deletes its keys, and watches read
/// from a history of revisions. Thread-safe.
class KeyValueState final {
public:
  /// Keeps the last \p HistoryLimit revisions for watches.
  explicit KeyValueState(std::size_t HistoryLimit);

  /// NotFound if a put names an unknown lease, InvalidArgument if a key is put
  /// twice, is empty, or its value is larger than 1 MB.
  Result<TransactionResponse> commit(const TransactionRequest &Request);

  /// Grants a lease; \p Id 0 lets the store choose. Conflict if \p Id exists.
  Result<std::int64_t> grantLease(std::int64_t Id, Seconds TimeToLive);
  /// Renews a lease and returns its time to live, or 0 if it has expired.
  Seconds renewLease(std::int64_t Id);
  /// Ends a lease and deletes its keys; NotFound if there is no such lease.
  Result<void> revokeLease(std::int64_t Id);
  /// Deletes expired leases with their keys.
  void expireLeases();

  std::int64_t revision() const;

  /// Oldest revision that events() can return.
  std::int64_t firstRetainedRevision() const;

  /// The changes in \p Range since \p FromRevision, inclusive.
  std::vector<RevisionEvents> events(const KeyRange &Range,
                                     std::int64_t FromRevision) const;

  std::vector<StoredPair> dump() const;

private:
  struct Lease {
    Seconds TimeToLive_;
    SteadyTime ExpiresAt_;
    std::set<std::string> Keys_;
  };
  using Events = std::vector<KeyEvent>;
  using Operations = std::vector<Operation>;

  bool evaluate(const KeyComparison &Comparison) const;
  Result<void> validateWrites(const Operations &Ops) const;
  RangeResponse range(const RangeRequest &Query) const;
  void put(const PutRequest &Put, std::int64_t Revision, Events &Changes);
  DeleteResponse erase(const KeyRange &Range, std::int64_t Revision,
                       Events &Changes);
  void eraseKey(const std::string &Key, std::int64_t Revision, Events &Changes);
  void deleteLease(std::int64_t Id);
  void expireLeasesLocked();
  void append(Events Changes);

  const std::size_t HistoryLimit_;
  mutable std::mutex Mutex_;
  std::map<std::string, StoredPair> Pairs_;
  std::map<std::int64_t, Lease> Leases_;
  std::deque<RevisionEvents> History_;
  std::int64_t Revision_ = 1;
  std::int64_t FirstRetainedRevision_ = 2;
  std::int64_t NextLeaseId_ = 7000;
};

} // namespace amaranth::standin

#endif
