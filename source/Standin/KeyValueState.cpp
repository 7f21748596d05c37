#include "Standin/KeyValueState.h"

namespace amaranth::standin {

namespace {

constexpr std::size_t MaxValueBytes = 1024 * 1024;

template <typename T>
bool compare(const T &Left, KeyComparison::Relation Relation, const T &Right) {
  switch (Relation) {
  case KeyComparison::Relation::Equal:
    return Left == Right;
  case KeyComparison::Relation::Greater:
    return Left > Right;
  case KeyComparison::Relation::Less:
    return Left < Right;
  case KeyComparison::Relation::NotEqual:
    return Left != Right;
  }
  return false;
}

std::int64_t numericField(const StoredPair &Pair,
                          KeyComparison::Target Target) {
  switch (Target) {
  case KeyComparison::Target::Version:
    return Pair.Version_;
  case KeyComparison::Target::Create:
    return Pair.CreateRevision_;
  case KeyComparison::Target::Mod:
    return Pair.ModRevision_;
  case KeyComparison::Target::Lease:
    return Pair.LeaseId_;
  case KeyComparison::Target::Value:
    break;
  }
  return 0;
}

} // namespace

bool KeyRange::contains(const std::string &Key) const {
  if (End_.empty())
    return Key == Key_;
  if (End_ == std::string(1, '\0'))
    return Key >= Key_;
  return Key >= Key_ && Key < End_;
}

KeyValueState::KeyValueState(std::size_t HistoryLimit)
    : HistoryLimit_(HistoryLimit) {}

Result<TransactionResponse>
KeyValueState::commit(const TransactionRequest &Request) {
  std::lock_guard Lock(Mutex_);
  expireLeasesLocked();
  TransactionResponse Response;
  Response.Succeeded_ = true;
  for (const KeyComparison &Comparison : Request.Comparisons_)
    Response.Succeeded_ = Response.Succeeded_ && evaluate(Comparison);
  const Operations &Branch =
      Response.Succeeded_ ? Request.Success_ : Request.Failure_;
  BOOST_LEAF_CHECK(validateWrites(Branch));
  Events Changes;
  for (const Operation &Op : Branch) {
    if (const auto *Query = std::get_if<RangeRequest>(&Op)) {
      Response.Responses_.push_back(range(*Query));
    } else if (const auto *Put = std::get_if<PutRequest>(&Op)) {
      put(*Put, Revision_ + 1, Changes);
      Response.Responses_.push_back(PutResponse{});
    } else if (const auto *Delete = std::get_if<DeleteRequest>(&Op)) {
      Response.Responses_.push_back(
          erase(Delete->Range_, Revision_ + 1, Changes));
    }
  }
  for (const KeyEvent &Change : Changes)
    Response.WrittenKeys_.push_back(Change.Pair_.Key_);
  append(std::move(Changes));
  Response.Revision_ = Revision_;
  return Response;
}

bool KeyValueState::evaluate(const KeyComparison &Comparison) const {
  auto Found = Pairs_.find(Comparison.Key_);
  bool Present = Found != Pairs_.end();
  if (Comparison.Target_ == KeyComparison::Target::Value)
    return Present && compare(Found->second.Value_, Comparison.Relation_,
                              Comparison.Value_);
  std::int64_t Number =
      Present ? numericField(Found->second, Comparison.Target_) : 0;
  return compare(Number, Comparison.Relation_, Comparison.Number_);
}

Result<void> KeyValueState::validateWrites(const Operations &Ops) const {
  std::set<std::string> PutKeys;
  for (const Operation &Op : Ops) {
    const auto *Put = std::get_if<PutRequest>(&Op);
    if (!Put)
      continue;
    if (Put->Key_.empty())
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: key is not provided");
    if (!PutKeys.insert(Put->Key_).second)
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: duplicate key given in txn request");
    if (Put->Value_.size() > MaxValueBytes)
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: request is too large");
    if (Put->LeaseId_ != 0 && Leases_.count(Put->LeaseId_) == 0)
      return fail(ErrorCode::NotFound, "etcdserver: requested lease not found");
  }
  return {};
}

RangeResponse KeyValueState::range(const RangeRequest &Query) const {
  RangeResponse Response;
  for (auto Position = Pairs_.lower_bound(Query.Range_.Key_);
       Position != Pairs_.end() && Query.Range_.contains(Position->first);
       ++Position) {
    ++Response.Count_;
    if (Query.CountOnly_)
      continue;
    if (Query.Limit_ > 0 && Response.Count_ > Query.Limit_) {
      Response.More_ = true;
      continue;
    }
    Response.Pairs_.push_back(Position->second);
    if (Query.KeysOnly_)
      Response.Pairs_.back().Value_.clear();
  }
  return Response;
}

void KeyValueState::put(const PutRequest &Put, std::int64_t Revision,
                        Events &Changes) {
  StoredPair &Pair = Pairs_[Put.Key_];
  if (Pair.LeaseId_ != 0)
    Leases_[Pair.LeaseId_].Keys_.erase(Put.Key_);
  Pair.Key_ = Put.Key_;
  Pair.Value_ = Put.Value_;
  if (Pair.Version_ == 0)
    Pair.CreateRevision_ = Revision;
  Pair.ModRevision_ = Revision;
  ++Pair.Version_;
  Pair.LeaseId_ = Put.LeaseId_;
  if (Pair.LeaseId_ != 0)
    Leases_[Pair.LeaseId_].Keys_.insert(Put.Key_);
  Changes.push_back({false, Pair});
}

DeleteResponse KeyValueState::erase(const KeyRange &Range,
                                    std::int64_t Revision, Events &Changes) {
  std::vector<std::string> Keys;
  for (auto Position = Pairs_.lower_bound(Range.Key_);
       Position != Pairs_.end() && Range.contains(Position->first); ++Position)
    Keys.push_back(Position->first);
  for (const std::string &Key : Keys)
    eraseKey(Key, Revision, Changes);
  return {static_cast<std::int64_t>(Keys.size())};
}

void KeyValueState::eraseKey(const std::string &Key, std::int64_t Revision,
                             Events &Changes) {
  auto Found = Pairs_.find(Key);
  if (Found == Pairs_.end())
    return;
  auto OwningLease = Leases_.find(Found->second.LeaseId_);
  if (OwningLease != Leases_.end())
    OwningLease->second.Keys_.erase(Key);
  Pairs_.erase(Found);
  StoredPair Tombstone;
  Tombstone.Key_ = Key;
  Tombstone.ModRevision_ = Revision;
  Changes.push_back({true, Tombstone});
}

Result<std::int64_t> KeyValueState::grantLease(std::int64_t Id,
                                               Seconds TimeToLive) {
  std::lock_guard Lock(Mutex_);
  expireLeasesLocked();
  if (TimeToLive.count() <= 0)
    return fail(ErrorCode::InvalidArgument,
                "etcdserver: lease TTL must be positive");
  if (Id == 0)
    Id = NextLeaseId_++;
  else if (Leases_.count(Id) > 0)
    return fail(ErrorCode::Conflict, "etcdserver: lease already exists");
  Leases_[Id] = {TimeToLive, SteadyClock::now() + TimeToLive, {}};
  return Id;
}

Seconds KeyValueState::renewLease(std::int64_t Id) {
  std::lock_guard Lock(Mutex_);
  expireLeasesLocked();
  auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return Seconds{0};
  Found->second.ExpiresAt_ = SteadyClock::now() + Found->second.TimeToLive_;
  return Found->second.TimeToLive_;
}

Result<void> KeyValueState::revokeLease(std::int64_t Id) {
  std::lock_guard Lock(Mutex_);
  expireLeasesLocked();
  if (Leases_.count(Id) == 0)
    return fail(ErrorCode::NotFound, "etcdserver: requested lease not found");
  deleteLease(Id);
  return {};
}

void KeyValueState::expireLeases() {
  std::lock_guard Lock(Mutex_);
  expireLeasesLocked();
}

void KeyValueState::expireLeasesLocked() {
  SteadyTime Now = SteadyClock::now();
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Entry] : Leases_)
    if (Entry.ExpiresAt_ <= Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    deleteLease(Id);
}

void KeyValueState::deleteLease(std::int64_t Id) {
  std::set<std::string> Keys = Leases_[Id].Keys_;
  Leases_.erase(Id);
  Events Changes;
  for (const std::string &Key : Keys)
    eraseKey(Key, Revision_ + 1, Changes);
  append(std::move(Changes));
}

void KeyValueState::append(Events Changes) {
  if (Changes.empty())
    return;
  ++Revision_;
  History_.push_back({Revision_, std::move(Changes)});
  while (History_.size() > HistoryLimit_) {
    FirstRetainedRevision_ = History_.front().Revision_ + 1;
    History_.pop_front();
  }
}

std::int64_t KeyValueState::revision() const {
  std::lock_guard Lock(Mutex_);
  return Revision_;
}

std::int64_t KeyValueState::firstRetainedRevision() const {
  std::lock_guard Lock(Mutex_);
  return FirstRetainedRevision_;
}

std::vector<RevisionEvents>
KeyValueState::events(const KeyRange &Range, std::int64_t FromRevision) const {
  std::lock_guard Lock(Mutex_);
  std::vector<RevisionEvents> Matching;
  auto BeforeFirst = History_.rbegin();
  while (BeforeFirst != History_.rend() &&
         BeforeFirst->Revision_ >= FromRevision)
    ++BeforeFirst;
  for (auto Position = BeforeFirst.base(); Position != History_.end();
       ++Position) {
    RevisionEvents MatchingRevision{Position->Revision_, {}};
    for (const KeyEvent &Change : Position->Events_)
      if (Range.contains(Change.Pair_.Key_))
        MatchingRevision.Events_.push_back(Change);
    if (!MatchingRevision.Events_.empty())
      Matching.push_back(std::move(MatchingRevision));
  }
  return Matching;
}

std::vector<StoredPair> KeyValueState::dump() const {
  std::lock_guard Lock(Mutex_);
  std::vector<StoredPair> Pairs;
  for (const auto &[Key, Pair] : Pairs_)
    Pairs.push_back(Pair);
  return Pairs;
}

} // namespace amaranth::standin
