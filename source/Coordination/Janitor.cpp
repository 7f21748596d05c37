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

/// Claims are read in shards by the first two hex digits of the identity, which
/// bounds the size of a reply.
constexpr unsigned ClaimShards = 256;
/// Revisions recorded per maximum age. Each age is exact to about one part in
/// this number, and a pass needs no more.
constexpr int ObservationsPerAge = 64;

/// Parses "<host>/<incarnation>".
std::optional<std::pair<std::string, std::uint64_t>>
parseHomeId(const std::string &Text) {
  std::size_t Slash = Text.rfind('/');
  if (Slash == std::string::npos)
    return std::nullopt;
  std::uint64_t Incarnation = 0;
  const char *End = Text.data() + Text.size();
  auto Conversion = std::from_chars(Text.data() + Slash + 1, End, Incarnation);
  if (Conversion.ec != std::errc() || Conversion.ptr != End)
    return std::nullopt;
  return std::make_pair(Text.substr(0, Slash), Incarnation);
}

} // namespace

Janitor::Janitor(JanitorSettings Settings, protocol::KeyValueStore &Store,
                 const MemberView &Members, std::function<bool()> HoldsDuty)
    : Settings_(std::move(Settings)), Store_(Store), Members_(Members),
      HoldsDuty_(std::move(HoldsDuty)) {}

void Janitor::runOnce() {
  DeletionsInPass_ = 0;
  if (!HoldsDuty_()) {
    // Without the duty membership is not observed: a host may have recovered
    // and died again, so its time of death is no longer known.
    DeadSince_.clear();
    return;
  }
  auto Index = capture([&] {
    return Store_.range(Journal::closedIndexPrefix(), true,
                        Settings_.CallTimeout_);
  });
  if (!Index)
    return;
  recordRevision(Index->StoreRevision_);
  auto Sessions = capture(
      [&] { return Session::readSessions(Store_, Settings_.CallTimeout_); });
  if (!Sessions)
    return;
  endDeadSessions(*Sessions);
  if (ExpiredRevision_ == 0)
    return;
  deleteClosedJournals(*Index);
  deleteSegments(*Sessions);
  deleteClaims();
}

void Janitor::endDeadSessions(const std::vector<SessionRecord> &Sessions) {
  std::set<HomeId> DeadHomes;
  for (const SessionRecord &Record : Sessions) {
    HomeId Home(Record.Host_, Record.Incarnation_);
    if (!isDeadOrReplaced(Record))
      continue;
    DeadHomes.insert(Home);
    SteadyTime Since = DeadSince_.emplace(Home, now()).first->second;
    if (now() - Since < Settings_.Retention_ || !mayDeleteMore())
      continue;
    auto Reply = capture([&] {
      return Store_.commit(Session::closeTransaction(Home.first, Home.second),
                           Settings_.CallTimeout_);
    });
    ++DeletionsInPass_;
    if (Reply)
      LogEvent(LogLevel::Info, "session_ended")
          .field("host", Home.first)
          .field("incarnation", Home.second);
  }
  std::erase_if(DeadSince_, [&](const auto &Entry) {
    return !DeadHomes.contains(Entry.first);
  });
}

bool Janitor::isDeadOrReplaced(const SessionRecord &Record) const {
  auto Member = Members_.find(Record.Host_);
  if (!Member || Member->Incarnation_ < Record.Incarnation_)
    return false;
  return Member->Incarnation_ > Record.Incarnation_ ||
         Member->Status_ == protocol::MemberStatus::Dead;
}

void Janitor::deleteClosedJournals(const protocol::RangeResult &Index) {
  for (const auto &Pair : Index.Pairs_) {
    if (Pair.ModRevision_ > ExpiredRevision_)
      continue;
    if (!mayDeleteMore())
      return;
    auto Home =
        parseHomeId(Pair.Key_.substr(Journal::closedIndexPrefix().size()));
    if (!Home)
      continue;
    auto Reply = capture([&] {
      return Journal::deleteClosedJournal(Store_, Home->first, Home->second,
                                          Settings_.CallTimeout_);
    });
    ++DeletionsInPass_;
    if (!Reply)
      LogEvent(LogLevel::Warn, "journal_not_deleted")
          .field("code", toString(Reply.error().Code_));
  }
}

/// Deletes expired segments of one open session per pass, because reading a
/// journal is the most expensive call of a pass.
void Janitor::deleteSegments(const std::vector<SessionRecord> &Sessions) {
  if (Sessions.empty() || !mayDeleteMore())
    return;
  const SessionRecord &Record = Sessions[NextSessionIndex_++ % Sessions.size()];
  auto Deleted = capture([&] {
    return Journal::deleteOldSegments(
        Store_, Record.Host_, Record.Incarnation_, ExpiredRevision_,
        Settings_.MaxDeletions_ - DeletionsInPass_, Settings_.CallTimeout_);
  });
  if (Deleted)
    DeletionsInPass_ += *Deleted;
}

void Janitor::deleteClaims() {
  if (!mayDeleteMore())
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
    if (Pair.ModRevision_ > ExpiredRevision_)
      continue;
    if (DeletionsInPass_ + Write.Writes_.size() >= Settings_.MaxDeletions_)
      break;
    Write.Writes_.push_back({Mutation::Kind::Delete, Pair.Key_, ""});
    Write.Conditions_.push_back({Pair.Key_, Compare::Field::ModRevision,
                                 Compare::Relation::Equal, Pair.ModRevision_});
  }
  if (Write.Writes_.empty() || !HoldsDuty_())
    return;
  DeletionsInPass_ += Write.Writes_.size();
  // After a failure the shard is read again when its turn comes next.
  auto Reply =
      capture([&] { return Store_.commit(Write, Settings_.CallTimeout_); });
  if (!Reply)
    LogEvent(LogLevel::Warn, "claims_not_deleted")
        .field("code", toString(Reply.error().Code_));
}

/// Records that the store has reached \p Revision by now, and updates the
/// revision that it had reached one ticket lifetime plus retention ago.
void Janitor::recordRevision(std::uint64_t Revision) {
  Milliseconds Age = Settings_.TicketLifetime_ + Settings_.Retention_ +
                     Settings_.ClockRateAllowance_;
  if (ObservedRevisions_.empty() ||
      now() - ObservedRevisions_.back().first >= Age / ObservationsPerAge)
    ObservedRevisions_.emplace_back(now(), Revision);
  while (!ObservedRevisions_.empty() &&
         now() - ObservedRevisions_.front().first >= Age) {
    ExpiredRevision_ = ObservedRevisions_.front().second;
    ObservedRevisions_.pop_front();
  }
}

bool Janitor::mayDeleteMore() const {
  return DeletionsInPass_ < Settings_.MaxDeletions_ && HoldsDuty_();
}

SteadyTime Janitor::now() const {
  return Settings_.Clock_ ? Settings_.Clock_() : SteadyClock::now();
}

} // namespace amaranth::coordination
