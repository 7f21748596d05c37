#include "Coordination/Janitor.h"

#include "Coordination/ClaimTable.h"
#include "Coordination/Journal.h"
#include "Support/Log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <set>

namespace amaranth::coordination {

namespace {

using protocol::Compare;
using protocol::Mutation;

/// Claims are read in parts, by the first two hex digits of the identity, to
/// bound the size of a reply.
constexpr unsigned ClaimShards = 256;
/// Observations kept for one age; more would not make ages more exact than
/// a pass needs.
constexpr int ObservationsPerAge = 64;

/// Reads "<host>/<incarnation>".
std::optional<std::pair<std::string, std::uint64_t>>
parseName(const std::string &Name) {
  std::size_t Slash = Name.rfind('/');
  if (Slash == std::string::npos)
    return std::nullopt;
  std::uint64_t Incarnation = 0;
  const char *End = Name.data() + Name.size();
  auto Read = std::from_chars(Name.data() + Slash + 1, End, Incarnation);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return std::make_pair(Name.substr(0, Slash), Incarnation);
}

} // namespace

Janitor::Janitor(JanitorSettings Settings, protocol::KeyValueStore &Store,
                 const MemberView &Members, std::function<bool()> HoldsDuty)
    : Settings_(std::move(Settings)), Store_(Store), Members_(Members),
      HoldsDuty_(std::move(HoldsDuty)) {}

void Janitor::runOnce() {
  Deletions_ = 0;
  if (!HoldsDuty_()) {
    // Nothing was watched in between, so a host may have come back.
    GoneSince_.clear();
    return;
  }
  auto Index = capture([&] {
    return Store_.range(Journal::closedIndexPrefix(), true,
                        Settings_.CallTimeout_);
  });
  if (!Index)
    return;
  observe(Index->StoreRevision_);
  auto Sessions = capture(
      [&] { return Session::readSessions(Store_, Settings_.CallTimeout_); });
  if (!Sessions)
    return;
  endDeadSessions(*Sessions);
  if (OldRevision_ == 0)
    return;
  deleteClosedJournals(*Index);
  deleteSegments(*Sessions);
  deleteClaims();
}

void Janitor::endDeadSessions(const std::vector<SessionRecord> &Sessions) {
  std::set<Incarnation> Listed;
  for (const SessionRecord &Record : Sessions) {
    Incarnation Name(Record.Host_, Record.Incarnation_);
    if (!isGone(Record))
      continue;
    Listed.insert(Name);
    SteadyTime Since = GoneSince_.emplace(Name, now()).first->second;
    if (now() - Since < Settings_.Retention_ || !mayGoOn())
      continue;
    auto Reply = capture([&] {
      return Store_.commit(Session::closing(Name.first, Name.second),
                           Settings_.CallTimeout_);
    });
    ++Deletions_;
    if (Reply)
      LogEvent(LogLevel::Info, "session_ended")
          .field("host", Name.first)
          .field("incarnation", Name.second);
  }
  std::erase_if(GoneSince_, [&](const auto &Entry) {
    return !Listed.contains(Entry.first);
  });
}

bool Janitor::isGone(const SessionRecord &Record) const {
  auto Listed = Members_.find(Record.Host_);
  if (!Listed || Listed->Incarnation_ < Record.Incarnation_)
    return false;
  return Listed->Incarnation_ > Record.Incarnation_ ||
         Listed->Status_ == protocol::MemberStatus::Dead;
}

void Janitor::deleteClosedJournals(const protocol::RangeResult &Index) {
  for (const auto &Pair : Index.Pairs_) {
    if (Pair.ModRevision_ > OldRevision_)
      continue;
    if (!mayGoOn())
      return;
    auto Name =
        parseName(Pair.Key_.substr(Journal::closedIndexPrefix().size()));
    if (!Name)
      continue;
    auto Reply = capture([&] {
      return Journal::deleteClosed(Store_, Name->first, Name->second,
                                   Settings_.CallTimeout_);
    });
    ++Deletions_;
    if (!Reply)
      LogEvent(LogLevel::Warn, "journal_not_deleted")
          .field("code", toString(Reply.error().Code_));
  }
}

/// Deletes old segments of one live host in each pass: reading a journal is
/// the most expensive call here.
void Janitor::deleteSegments(const std::vector<SessionRecord> &Sessions) {
  if (Sessions.empty() || !mayGoOn())
    return;
  const SessionRecord &Next = Sessions[NextSession_++ % Sessions.size()];
  auto Deleted = capture([&] {
    return Journal::deleteOldSegments(
        Store_, Next.Host_, Next.Incarnation_, OldRevision_,
        Settings_.MaxDeletions_ - Deletions_, Settings_.CallTimeout_);
  });
  if (Deleted)
    Deletions_ += *Deleted;
}

void Janitor::deleteClaims() {
  if (!mayGoOn())
    return;
  char Shard[8];
  std::snprintf(Shard, sizeof(Shard), "%02x", NextShard_++ % ClaimShards);
  auto Claims = capture([&] {
    return Store_.range(ClaimTable::prefix() + Shard, true,
                        Settings_.CallTimeout_);
  });
  if (!Claims)
    return;
  protocol::Transaction Write;
  for (const auto &Pair : Claims->Pairs_) {
    if (Pair.ModRevision_ > OldRevision_)
      continue;
    if (Deletions_ + Write.Writes_.size() >= Settings_.MaxDeletions_)
      break;
    Write.Writes_.push_back({Mutation::Kind::Delete, Pair.Key_, ""});
    Write.Conditions_.push_back({Pair.Key_, Compare::Field::ModRevision,
                                 Compare::Relation::Equal, Pair.ModRevision_});
  }
  if (Write.Writes_.empty() || !HoldsDuty_())
    return;
  Deletions_ += Write.Writes_.size();
  // After a failure the shard is read again in a later round.
  auto Reply =
      capture([&] { return Store_.commit(Write, Settings_.CallTimeout_); });
  if (!Reply)
    LogEvent(LogLevel::Warn, "claims_not_deleted")
        .field("code", toString(Reply.error().Code_));
}

/// Notes that the store has reached \p Revision by now, and finds the revision
/// that it had reached an expiry and a retention ago.
void Janitor::observe(std::uint64_t Revision) {
  Milliseconds Age =
      Settings_.TicketLifetime_ + Settings_.Retention_ + Settings_.Allowance_;
  if (Observed_.empty() ||
      now() - Observed_.back().first >= Age / ObservationsPerAge)
    Observed_.emplace_back(now(), Revision);
  while (!Observed_.empty() && now() - Observed_.front().first >= Age) {
    OldRevision_ = Observed_.front().second;
    Observed_.pop_front();
  }
}

bool Janitor::mayGoOn() const {
  return Deletions_ < Settings_.MaxDeletions_ && HoldsDuty_();
}

SteadyTime Janitor::now() const {
  return Settings_.Clock_ ? Settings_.Clock_() : SteadyClock::now();
}

} // namespace amaranth::coordination
