#include "Standin/KeyValueState.h"

namespace amaranth::standin {

namespace {

constexpr std::size_t MaxValueBytes = 1024 * 1024;

template <typename T>
bool relates(const T &Left, KeyComparison::Relation Relation, const T &Right) {
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

std::int64_t numberOf(const StoredPair &Pair, KeyComparison::Target Target) {
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

Result<TransactionAnswer> KeyValueState::commit(const KeyTransaction &Request) {
  std::lock_guard Lock(Mutex_);
  expireLocked();
  TransactionAnswer Answer;
  Answer.Succeeded_ = true;
  for (const KeyComparison &Comparison : Request.Comparisons_)
    Answer.Succeeded_ = Answer.Succeeded_ && holds(Comparison);
  const Operations &Chosen =
      Answer.Succeeded_ ? Request.Success_ : Request.Failure_;
  BOOST_LEAF_CHECK(check(Chosen));
  Events Changes;
  for (const Operation &Step : Chosen) {
    if (const auto *Query = std::get_if<RangeQuery>(&Step)) {
      Answer.Answers_.push_back(range(*Query));
    } else if (const auto *Write = std::get_if<PutWrite>(&Step)) {
      put(*Write, Revision_ + 1, Changes);
      Answer.Answers_.push_back(PutAnswer{});
    } else if (const auto *Delete = std::get_if<DeleteWrite>(&Step)) {
      Answer.Answers_.push_back(erase(Delete->Range_, Revision_ + 1, Changes));
    }
  }
  for (const KeyEvent &Change : Changes)
    Answer.WrittenKeys_.push_back(Change.Pair_.Key_);
  append(std::move(Changes));
  Answer.Revision_ = Revision_;
  return Answer;
}

bool KeyValueState::holds(const KeyComparison &Comparison) const {
  auto Found = Pairs_.find(Comparison.Key_);
  bool Present = Found != Pairs_.end();
  if (Comparison.Target_ == KeyComparison::Target::Value)
    return Present && relates(Found->second.Value_, Comparison.Relation_,
                              Comparison.Value_);
  std::int64_t Number =
      Present ? numberOf(Found->second, Comparison.Target_) : 0;
  return relates(Number, Comparison.Relation_, Comparison.Number_);
}

Result<void> KeyValueState::check(const Operations &Writes) const {
  std::set<std::string> PutKeys;
  for (const Operation &Step : Writes) {
    const auto *Write = std::get_if<PutWrite>(&Step);
    if (!Write)
      continue;
    if (Write->Key_.empty())
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: key is not provided");
    if (!PutKeys.insert(Write->Key_).second)
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: duplicate key given in txn request");
    if (Write->Value_.size() > MaxValueBytes)
      return fail(ErrorCode::InvalidArgument,
                  "etcdserver: request is too large");
    if (Write->LeaseId_ != 0 && Leases_.count(Write->LeaseId_) == 0)
      return fail(ErrorCode::NotFound, "etcdserver: requested lease not found");
  }
  return {};
}

RangeAnswer KeyValueState::range(const RangeQuery &Query) const {
  RangeAnswer Answer;
  for (auto At = Pairs_.lower_bound(Query.Range_.Key_);
       At != Pairs_.end() && Query.Range_.contains(At->first); ++At) {
    ++Answer.Count_;
    if (Query.CountOnly_)
      continue;
    if (Query.Limit_ > 0 && Answer.Count_ > Query.Limit_) {
      Answer.More_ = true;
      continue;
    }
    Answer.Pairs_.push_back(At->second);
    if (Query.KeysOnly_)
      Answer.Pairs_.back().Value_.clear();
  }
  return Answer;
}

void KeyValueState::put(const PutWrite &Write, std::int64_t Revision,
                        Events &Changes) {
  StoredPair &Pair = Pairs_[Write.Key_];
  if (Pair.LeaseId_ != 0)
    Leases_[Pair.LeaseId_].Keys_.erase(Write.Key_);
  Pair.Key_ = Write.Key_;
  Pair.Value_ = Write.Value_;
  if (Pair.Version_ == 0)
    Pair.CreateRevision_ = Revision;
  Pair.ModRevision_ = Revision;
  ++Pair.Version_;
  Pair.LeaseId_ = Write.LeaseId_;
  if (Pair.LeaseId_ != 0)
    Leases_[Pair.LeaseId_].Keys_.insert(Write.Key_);
  Changes.push_back({false, Pair});
}

DeleteAnswer KeyValueState::erase(const KeyRange &Range, std::int64_t Revision,
                                  Events &Changes) {
  std::vector<std::string> Keys;
  for (auto At = Pairs_.lower_bound(Range.Key_);
       At != Pairs_.end() && Range.contains(At->first); ++At)
    Keys.push_back(At->first);
  for (const std::string &Key : Keys)
    drop(Key, Revision, Changes);
  return {static_cast<std::int64_t>(Keys.size())};
}

void KeyValueState::drop(const std::string &Key, std::int64_t Revision,
                         Events &Changes) {
  auto Found = Pairs_.find(Key);
  if (Found == Pairs_.end())
    return;
  auto Holder = Leases_.find(Found->second.LeaseId_);
  if (Holder != Leases_.end())
    Holder->second.Keys_.erase(Key);
  Pairs_.erase(Found);
  StoredPair Gone;
  Gone.Key_ = Key;
  Gone.ModRevision_ = Revision;
  Changes.push_back({true, Gone});
}

Result<std::int64_t> KeyValueState::grant(std::int64_t Id, Seconds TimeToLive) {
  std::lock_guard Lock(Mutex_);
  expireLocked();
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

Seconds KeyValueState::keepAlive(std::int64_t Id) {
  std::lock_guard Lock(Mutex_);
  expireLocked();
  auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return Seconds{0};
  Found->second.Expiry_ = SteadyClock::now() + Found->second.TimeToLive_;
  return Found->second.TimeToLive_;
}

Result<void> KeyValueState::revoke(std::int64_t Id) {
  std::lock_guard Lock(Mutex_);
  expireLocked();
  if (Leases_.count(Id) == 0)
    return fail(ErrorCode::NotFound, "etcdserver: requested lease not found");
  endLease(Id);
  return {};
}

void KeyValueState::expireLeases() {
  std::lock_guard Lock(Mutex_);
  expireLocked();
}

void KeyValueState::expireLocked() {
  SteadyTime Now = SteadyClock::now();
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Entry] : Leases_)
    if (Entry.Expiry_ <= Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    endLease(Id);
}

void KeyValueState::endLease(std::int64_t Id) {
  std::set<std::string> Keys = Leases_[Id].Keys_;
  Leases_.erase(Id);
  Events Changes;
  for (const std::string &Key : Keys)
    drop(Key, Revision_ + 1, Changes);
  append(std::move(Changes));
}

void KeyValueState::append(Events Changes) {
  if (Changes.empty())
    return;
  ++Revision_;
  History_.push_back({Revision_, std::move(Changes)});
  while (History_.size() > HistoryLimit_) {
    FirstKept_ = History_.front().Revision_ + 1;
    History_.pop_front();
  }
}

std::int64_t KeyValueState::revision() const {
  std::lock_guard Lock(Mutex_);
  return Revision_;
}

std::int64_t KeyValueState::firstKept() const {
  std::lock_guard Lock(Mutex_);
  return FirstKept_;
}

std::vector<RevisionEvents>
KeyValueState::events(const KeyRange &Range, std::int64_t FromRevision) const {
  std::lock_guard Lock(Mutex_);
  std::vector<RevisionEvents> Matching;
  auto Newest = History_.rbegin();
  while (Newest != History_.rend() && Newest->Revision_ >= FromRevision)
    ++Newest;
  for (auto At = Newest.base(); At != History_.end(); ++At) {
    RevisionEvents Part{At->Revision_, {}};
    for (const KeyEvent &Change : At->Events_)
      if (Range.contains(Change.Pair_.Key_))
        Part.Events_.push_back(Change);
    if (!Part.Events_.empty())
      Matching.push_back(std::move(Part));
  }
  return Matching;
}

std::vector<StoredPair> KeyValueState::dump() const {
  std::lock_guard Lock(Mutex_);
  std::vector<StoredPair> All;
  for (const auto &[Key, Pair] : Pairs_)
    All.push_back(Pair);
  return All;
}

} // namespace amaranth::standin
