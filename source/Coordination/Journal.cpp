#include "Coordination/Journal.h"

#include "Support/Digest.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace amaranth::coordination {

namespace {

using protocol::Compare;
using protocol::KeyValue;
using protocol::Mutation;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

constexpr char JournalPrefix[] = "/amaranth/journal/";
constexpr char ClosedIndexPrefix[] = "/amaranth/closed/";
/// Upper estimate of a record's size without its body, in bytes.
constexpr std::size_t RecordOverhead = 1024;
constexpr std::size_t MaxDetailBytes = 256; ///< Recorded part of a detail.

std::string segmentKey(const std::string &Host, std::uint64_t Incarnation,
                       std::uint64_t Sequence) {
  char Number[32];
  std::snprintf(Number, sizeof(Number), "%012llu",
                static_cast<unsigned long long>(Sequence));
  return Journal::keyPrefix(Host, Incarnation) + Number;
}

std::string deletionMarkKey(const std::string &Host,
                            std::uint64_t Incarnation) {
  return Journal::keyPrefix(Host, Incarnation) + "deleted";
}

nlohmann::json toJson(const Intent &Request) {
  nlohmann::json Json;
  Json["id"] = Request.Identity_;
  Json["content"] = Request.ContentDigest_;
  Json["expiry"] = Request.Expiry_.count();
  return Json;
}

/// Bodies are base64-encoded because targets may send bytes that are not UTF-8.
nlohmann::json toJson(const Intent &Request, const RequestOutcome &Outcome,
                      std::size_t MaxBodyBytes) {
  nlohmann::json Json = toJson(Request);
  Json["kind"] = toString(Outcome.Kind_);
  Json["status"] = Outcome.Status_;
  Json["detail"] = Outcome.Detail_.substr(0, MaxDetailBytes);
  if (Outcome.Body_.size() <= MaxBodyBytes)
    Json["body"] = base64Encode(Outcome.Body_);
  return Json;
}

std::optional<OutcomeKind> parseOutcomeKind(const std::string &Name) {
  for (OutcomeKind Kind : {OutcomeKind::Completed, OutcomeKind::NotRun,
                           OutcomeKind::Unknown, OutcomeKind::Failed})
    if (Name == toString(Kind))
      return Kind;
  return std::nullopt;
}

bool hasString(const nlohmann::json &Json, const char *Field) {
  return Json.contains(Field) && Json[Field].is_string();
}

bool hasIntentFields(const nlohmann::json &Json) {
  return Json.is_object() && hasString(Json, "id") &&
         hasString(Json, "content") && Json.contains("expiry") &&
         Json["expiry"].is_number_integer();
}

/// The recorded outcome; nullopt if the record is malformed.
std::optional<RequestOutcome> readOutcome(const nlohmann::json &Json) {
  if (!hasString(Json, "kind") || !hasString(Json, "detail") ||
      !Json.contains("status") || !Json["status"].is_number_integer())
    return std::nullopt;
  auto Kind = parseOutcomeKind(Json["kind"]);
  if (!Kind)
    return std::nullopt;
  RequestOutcome Outcome;
  Outcome.Kind_ = *Kind;
  Outcome.Status_ = Json["status"];
  Outcome.Detail_ = Json["detail"];
  if (!hasString(Json, "body")) {
    Outcome.Kind_ = OutcomeKind::Unknown;
    Outcome.Status_ = 0;
    Outcome.Detail_ = "the request ran to the outcome '" +
                      std::string(toString(*Kind)) +
                      "', but its answer was too large to be recorded";
    return Outcome;
  }
  auto Body = capture([&] {
    return base64Decode(Json["body"].get_ref<const std::string &>());
  });
  if (!Body)
    return std::nullopt;
  Outcome.Body_ = std::move(*Body);
  return Outcome;
}

/// Adds one segment to \p Content; false if it is malformed.
bool addSegment(const std::string &Value, JournalContent &Content) {
  auto Json = nlohmann::json::parse(Value, nullptr, false);
  if (!Json.is_object() || !Json.contains("intents") ||
      !Json.contains("outcomes"))
    return false;
  for (const auto &Record : Json["intents"]) {
    if (!hasIntentFields(Record))
      return false;
    Content.Entries_[Record["id"]].ContentDigest_ = Record["content"];
  }
  for (const auto &Record : Json["outcomes"]) {
    if (!hasIntentFields(Record))
      return false;
    auto Outcome = readOutcome(Record);
    if (!Outcome)
      return false;
    JournalEntry &Entry = Content.Entries_[Record["id"]];
    Entry.ContentDigest_ = Record["content"];
    Entry.Outcome_ = std::move(Outcome);
  }
  return true;
}

/// The value of the key written by deleteOldSegments(); nullopt if malformed.
std::optional<Milliseconds> readDeletedUpTo(const std::string &Value) {
  auto Json = nlohmann::json::parse(Value, nullptr, false);
  if (!Json.is_object() || !Json.contains("expiry") ||
      !Json["expiry"].is_number_integer())
    return std::nullopt;
  return Milliseconds(Json["expiry"].get<std::int64_t>());
}

/// The highest expiry among the intents of a segment; nullopt if malformed.
std::optional<Milliseconds> highestExpiry(const std::string &Value) {
  auto Json = nlohmann::json::parse(Value, nullptr, false);
  if (!Json.is_object() || !Json.contains("intents"))
    return std::nullopt;
  Milliseconds Highest{0};
  for (const auto &Record : Json["intents"]) {
    if (!hasIntentFields(Record))
      return std::nullopt;
    Milliseconds Expiry(Record["expiry"].get<std::int64_t>());
    Highest = std::max(Highest, Expiry);
  }
  return Highest;
}

} // namespace

Journal::Journal(JournalSettings Settings, protocol::KeyValueStore &Store,
                 Session &Session, const MemberView &Members)
    : Settings_(std::move(Settings)), Store_(Store), Session_(Session),
      Members_(Members), NextWrite_(SteadyClock::now()),
      NextProbe_(SteadyClock::now()) {
  Thread_ = std::thread([this] { run(); });
}

Journal::~Journal() {
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
  }
  WorkAvailable_.notify_all();
  Thread_.join();
}

AppendStatus Journal::append(const Intent &Request, std::uint64_t Incarnation,
                             SteadyTime Deadline) {
  auto Pending = std::make_shared<PendingIntent>();
  Pending->Intent_ = Request;
  Pending->Incarnation_ = Incarnation;
  std::unique_lock Lock(Mutex_);
  if (Stopping_)
    return AppendStatus::Failed;
  if (QueuedIntents_.size() >= Settings_.MaxQueueLength_)
    return AppendStatus::Full;
  QueuedIntents_.push_back(Pending);
  WorkAvailable_.notify_all();
  BatchDone_.wait_until(Lock, Deadline,
                        [&] { return Pending->Status_.has_value(); });
  if (Pending->Status_)
    return *Pending->Status_;
  // Set under the lock, so that a reply that arrives later does not change the
  // status.
  Pending->Status_ = AppendStatus::TimedOut;
  std::erase(QueuedIntents_, Pending);
  return AppendStatus::TimedOut;
}

void Journal::addOutcome(const Intent &Request, std::uint64_t Incarnation,
                         const RequestOutcome &Outcome) {
  std::lock_guard Lock(Mutex_);
  if (QueuedOutcomes_.size() >= Settings_.MaxQueueLength_) {
    QueuedOutcomes_.pop_front();
    ++DroppedOutcomes_;
  }
  QueuedOutcomes_.push_back(
      {Request, Incarnation, Outcome, SteadyClock::now()});
  WorkAvailable_.notify_all();
}

bool Journal::flush(Milliseconds Timeout) {
  std::unique_lock Lock(Mutex_);
  Flushing_ = true;
  std::size_t DroppedAtStart = DroppedOutcomes_;
  WorkAvailable_.notify_all();
  bool Empty = BatchDone_.wait_for(
      Lock, Timeout, [this] { return QueuedOutcomes_.empty() && !Batch_; });
  Flushing_ = false;
  return Empty && DroppedOutcomes_ == DroppedAtStart;
}

bool Journal::isAvailable() const {
  std::lock_guard Lock(Mutex_);
  return Available_;
}

std::string Journal::keyPrefix(const std::string &Host,
                               std::uint64_t Incarnation) {
  return JournalPrefix + Host + '/' + std::to_string(Incarnation) + '/';
}

std::string Journal::closedKey(const std::string &Host,
                               std::uint64_t Incarnation) {
  return keyPrefix(Host, Incarnation) + "closed";
}

std::string Journal::closedIndexPrefix() { return ClosedIndexPrefix; }

std::string Journal::closedIndexKey(const std::string &Host,
                                    std::uint64_t Incarnation) {
  return ClosedIndexPrefix + Host + '/' + std::to_string(Incarnation);
}

Result<JournalContent> Journal::read(protocol::KeyValueStore &Store,
                                     const std::string &Host,
                                     std::uint64_t Incarnation,
                                     Milliseconds Timeout) {
  BOOST_LEAF_AUTO(Range,
                  Store.range(keyPrefix(Host, Incarnation), true, Timeout));
  JournalContent Content;
  for (const KeyValue &Pair : Range.Pairs_) {
    if (Pair.Key_ == closedKey(Host, Incarnation)) {
      Content.Closed_ = true;
    } else if (Pair.Key_ == deletionMarkKey(Host, Incarnation)) {
      auto DeletedUpTo = readDeletedUpTo(Pair.Value_);
      Content.Corrupt_ |= !DeletedUpTo;
      Content.DeletedUpTo_ = DeletedUpTo.value_or(Milliseconds{0});
    } else if (!addSegment(Pair.Value_, Content)) {
      Content.Corrupt_ = true;
      LogEvent(LogLevel::Error, "journal_unreadable").field("key", Pair.Key_);
    }
  }
  return Content;
}

Result<std::size_t> Journal::deleteOldSegments(protocol::KeyValueStore &Store,
                                               const std::string &Host,
                                               std::uint64_t Incarnation,
                                               std::uint64_t Revision,
                                               std::size_t MaxSegments,
                                               Milliseconds Timeout) {
  std::string MarkKey = deletionMarkKey(Host, Incarnation);
  BOOST_LEAF_AUTO(Range,
                  Store.range(keyPrefix(Host, Incarnation), true, Timeout));
  protocol::Transaction Write;
  Milliseconds DeletedUpTo{0};
  std::uint64_t MarkRevision = 0;
  for (const KeyValue &Pair : Range.Pairs_) {
    if (Pair.Key_ == MarkKey) {
      MarkRevision = Pair.ModRevision_;
      // A malformed mark is kept, because it makes readers treat the journal as
      // corrupt.
      auto PreviousMark = readDeletedUpTo(Pair.Value_);
      if (!PreviousMark)
        return fail(ErrorCode::CorruptData,
                    "the deletion mark of the journal is malformed; no "
                    "segment was deleted");
      DeletedUpTo = std::max(DeletedUpTo, *PreviousMark);
      continue;
    }
    bool IsSegment = Pair.Key_ != closedKey(Host, Incarnation);
    if (!IsSegment || Pair.ModRevision_ > Revision ||
        Write.Writes_.size() >= MaxSegments)
      continue;
    auto Expiry = highestExpiry(Pair.Value_);
    if (!Expiry)
      continue;
    DeletedUpTo = std::max(DeletedUpTo, *Expiry);
    Write.Writes_.push_back({Mutation::Kind::Delete, Pair.Key_, ""});
  }
  std::size_t Count = Write.Writes_.size();
  if (Count == 0)
    return Count;
  nlohmann::json Mark;
  Mark["expiry"] = DeletedUpTo.count();
  Write.Writes_.push_back({Mutation::Kind::Put, MarkKey, Mark.dump()});
  Write.Conditions_.push_back({MarkKey, Compare::Field::ModRevision,
                               Compare::Relation::Equal, MarkRevision});
  BOOST_LEAF_AUTO(Reply, Store.commit(Write, Timeout));
  if (!Reply.Succeeded_)
    return fail(ErrorCode::Conflict,
                "another caller deleted segments at the same time; "
                "nothing was deleted");
  return Count;
}

Result<void> Journal::deleteClosedJournal(protocol::KeyValueStore &Store,
                                          const std::string &Host,
                                          std::uint64_t Incarnation,
                                          Milliseconds Timeout) {
  protocol::Transaction Write;
  std::string SessionKey = Session::sessionKey(Host, Incarnation);
  Write.Conditions_.push_back({SessionKey, Compare::Field::CreateRevision});
  Write.Writes_.push_back(
      {Mutation::Kind::DeletePrefix, keyPrefix(Host, Incarnation), ""});
  Write.Writes_.push_back(
      {Mutation::Kind::Delete, closedIndexKey(Host, Incarnation), ""});
  BOOST_LEAF_AUTO(Reply, Store.commit(Write, Timeout));
  if (!Reply.Succeeded_)
    return fail(ErrorCode::Conflict, "the journal was not deleted: its session "
                                     "still exists");
  return {};
}

void Journal::run() {
  std::unique_lock Lock(Mutex_);
  while (!Stopping_) {
    auto CurrentSession = Session_.current();
    failIntentsOfOtherIncarnations(CurrentSession ? CurrentSession->Incarnation_
                                                  : 0);
    dropOutcomesOfOtherIncarnations(Session_.incarnation());
    SteadyTime WakeAt = nextWakeUp(CurrentSession.has_value());
    if (WakeAt > SteadyClock::now()) {
      WorkAvailable_.wait_until(Lock, WakeAt);
      continue;
    }
    if (Batch_ || (CurrentSession && assembleBatch(*CurrentSession)))
      writeBatch(Lock);
    else
      probeService(Lock);
  }
  if (Batch_)
    completeBatch(AppendStatus::Failed);
  failQueued();
}

/// The time at which the writer thread next has work. It is at most
/// ProbeInterval_ ahead, because the journal is not notified when a session
/// opens. Only during an outage, a read probes whether the service answers
/// again and whether the session still exists.
SteadyTime Journal::nextWakeUp(bool IsOpen) const {
  SteadyTime WakeAt = SteadyTime::max();
  if (Batch_ || !QueuedIntents_.empty())
    WakeAt = NextWrite_;
  else if (IsOpen && !QueuedOutcomes_.empty() && Flushing_)
    WakeAt = NextWrite_;
  else if (IsOpen && !QueuedOutcomes_.empty())
    WakeAt = std::max(NextWrite_, QueuedOutcomes_.front().QueuedAt_ +
                                      Settings_.MaxOutcomeDelay_);
  if (!Available_)
    WakeAt = std::min(WakeAt, std::max(NextProbe_, NextWrite_));
  if (WakeAt == SteadyTime::max())
    WakeAt = SteadyClock::now() + Settings_.ProbeInterval_;
  return WakeAt;
}

Milliseconds Journal::writeInterval() const {
  std::size_t AliveHosts = 0;
  for (const auto &Member : Members_.members())
    if (Member.Status_ != protocol::MemberStatus::Dead)
      ++AliveHosts;
  double SharedInterval = 1000.0 * static_cast<double>(AliveHosts) /
                          Settings_.FleetWritesPerSecond_;
  return std::max(Settings_.MinWriteInterval_,
                  Milliseconds(static_cast<std::int64_t>(SharedInterval)));
}

void Journal::probeService(std::unique_lock<std::mutex> &Lock) {
  std::uint64_t Incarnation = Session_.incarnation();
  auto CurrentSession = Session_.current();
  std::string Key = Session::sessionKey(Session_.self().Host_, Incarnation);
  Lock.unlock();
  auto Reply =
      capture([&] { return Store_.range(Key, false, Settings_.CallTimeout_); });
  Lock.lock();
  NextProbe_ = SteadyClock::now() + Settings_.ProbeInterval_;
  Available_ = static_cast<bool>(Reply);
  bool SessionDeleted = Reply && CurrentSession &&
                        CurrentSession->Incarnation_ == Incarnation &&
                        Reply->Pairs_.empty();
  if (SessionDeleted)
    Session_.reportDeleted(Incarnation);
}

void Journal::failQueued() {
  for (auto &Pending : QueuedIntents_)
    Pending->Status_ = AppendStatus::Failed;
  QueuedIntents_.clear();
  BatchDone_.notify_all();
}

/// Fails the intents of incarnations whose session is not open.
void Journal::failIntentsOfOtherIncarnations(std::uint64_t OpenIncarnation) {
  bool Failed = false;
  for (auto &Pending : QueuedIntents_) {
    if (Pending->Incarnation_ == OpenIncarnation)
      continue;
    Pending->Status_ = AppendStatus::Failed;
    Failed = true;
  }
  if (!Failed)
    return;
  std::erase_if(QueuedIntents_, [](const auto &Pending) {
    return Pending->Status_.has_value();
  });
  BatchDone_.notify_all();
}

/// Drops the outcomes of earlier incarnations, whose journals are closed.
void Journal::dropOutcomesOfOtherIncarnations(std::uint64_t Incarnation) {
  DroppedOutcomes_ +=
      std::erase_if(QueuedOutcomes_, [&](const PendingOutcome &Pending) {
        return Pending.Incarnation_ != Incarnation;
      });
}

/// Moves queued intents and outcomes into a batch with the next sequence
/// number. Numbers are not reused, because the write of a failed batch may take
/// effect late.
bool Journal::assembleBatch(const OpenSession &Current) {
  if (QueuedIntents_.empty() && QueuedOutcomes_.empty())
    return false;
  Batch NewBatch;
  NewBatch.Incarnation_ = Current.Incarnation_;
  nlohmann::json Json;
  Json["intents"] = nlohmann::json::array();
  Json["outcomes"] = nlohmann::json::array();
  std::size_t Size = 0;
  while (!QueuedIntents_.empty() && Size < Settings_.MaxBatchBytes_) {
    Json["intents"].push_back(toJson(QueuedIntents_.front()->Intent_));
    NewBatch.Intents_.push_back(std::move(QueuedIntents_.front()));
    QueuedIntents_.pop_front();
    Size += RecordOverhead;
  }
  while (!QueuedOutcomes_.empty() && Size < Settings_.MaxBatchBytes_) {
    const PendingOutcome &Oldest = QueuedOutcomes_.front();
    Json["outcomes"].push_back(
        toJson(Oldest.Intent_, Oldest.Outcome_, Settings_.MaxBodyBytes_));
    Size += RecordOverhead + 2 * Settings_.MaxBodyBytes_;
    NewBatch.Outcomes_.push_back(std::move(QueuedOutcomes_.front()));
    QueuedOutcomes_.pop_front();
  }
  const std::string &Host = Session_.self().Host_;
  NewBatch.Write_.Conditions_.push_back(
      {Session::sessionKey(Host, Current.Incarnation_),
       Compare::Field::CreateRevision, Compare::Relation::Equal,
       Current.CreateRevision_});
  NewBatch.Write_.Writes_.push_back(
      {Mutation::Kind::Put,
       segmentKey(Host, Current.Incarnation_, ++LastSequence_),
       Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
  Batch_ = std::move(NewBatch);
  return true;
}

void Journal::writeBatch(std::unique_lock<std::mutex> &Lock) {
  SteadyTime WriteStart = SteadyClock::now();
  Lock.unlock();
  Milliseconds Interval = writeInterval();
  auto Reply = capture(
      [&] { return Store_.commit(Batch_->Write_, Settings_.CallTimeout_); });
  Lock.lock();
  NextWrite_ = WriteStart + Interval;
  handleWriteReply(Reply);
  if (Batch_)
    NextWrite_ =
        std::max(NextWrite_, SteadyClock::now() + Settings_.RetryDelay_);
}

void Journal::handleWriteReply(
    const Expected<protocol::TransactionResult> &Reply) {
  if (Reply) {
    Available_ = true;
    if (Reply->Succeeded_) {
      completeBatch(AppendStatus::Durable);
      return;
    }
    // The session was deleted. A batch that took effect before the deletion
    // must not run either, since the intents queued behind it would then run as
    // well.
    Session_.reportDeleted(Batch_->Incarnation_);
    DroppedOutcomes_ += Batch_->Outcomes_.size();
    completeBatch(AppendStatus::Failed);
    return;
  }
  LogEvent(LogLevel::Warn, "journal_write_failed")
      .field("code", toString(Reply.error().Code_));
  if (Reply.error().Code_ == ErrorCode::InvalidArgument) {
    DroppedOutcomes_ += Batch_->Outcomes_.size();
    completeBatch(AppendStatus::Failed);
    return;
  }
  Available_ = false;
  NextProbe_ = SteadyClock::now() + Settings_.ProbeInterval_;
  if (Reply.error().Code_ == ErrorCode::Ambiguous) {
    Batch_->MayHaveArrived_ = true;
    return;
  }
  // Nothing was sent: fail at once instead of at the deadline.
  failQueued();
  if (Batch_->MayHaveArrived_)
    return;
  requeueOutcomes();
  completeBatch(AppendStatus::Failed);
}

/// Ends the batch with \p Status. Intents that have timed out keep theirs.
void Journal::completeBatch(AppendStatus Status) {
  for (auto &Pending : Batch_->Intents_)
    if (!Pending->Status_)
      Pending->Status_ = Status;
  Batch_.reset();
  BatchDone_.notify_all();
}

void Journal::requeueOutcomes() {
  SteadyTime Now = SteadyClock::now();
  for (auto &Outcome : Batch_->Outcomes_)
    Outcome.QueuedAt_ = Now;
  QueuedOutcomes_.insert(QueuedOutcomes_.begin(),
                         std::make_move_iterator(Batch_->Outcomes_.begin()),
                         std::make_move_iterator(Batch_->Outcomes_.end()));
}

} // namespace amaranth::coordination
