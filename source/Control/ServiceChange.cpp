#include "Control/ServiceChange.h"

#include "Control/AdminReplies.h"
#include "Support/Digest.h"

#include <algorithm>
#include <thread>

namespace amaranth::control {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusRejected = 422;
constexpr std::size_t ChangeIdBytes = 16;
constexpr Milliseconds PollInterval{100};

/// Reads the service until it has at least \p Revision, because the daemon that
/// replies may not have that revision yet.
Result<state::StoredDocument> waitForRevision(AdminClient &Client,
                                              const std::string &Name,
                                              std::uint64_t Revision) {
  SteadyTime Deadline = Client.settings().Deadline_;
  while (true) {
    BOOST_LEAF_AUTO(Stored, readService(Client, Name));
    if (Stored.Revision_ >= Revision)
      return Stored;
    if (remaining(Deadline).count() == 0)
      return fail(ErrorCode::Ambiguous,
                  "no daemon shows revision " + std::to_string(Revision) +
                      " of " + Name +
                      " before the timeout; whether the change took effect "
                      "is unknown");
    std::this_thread::sleep_for(std::min(PollInterval, remaining(Deadline)));
  }
}

Result<ChangeOutcome> resolveConflict(AdminClient &Client,
                                      const DocumentChange &Change,
                                      const ChangeReply &Answer) {
  ChangeOutcome Outcome;
  BOOST_LEAF_ASSIGN(Outcome.Revision_, parseRevision(Answer.Reply_.Body_));
  BOOST_LEAF_ASSIGN(Outcome.CurrentText_,
                    parseConflictDocument(Answer.Reply_.Body_));
  Outcome.Kind_ = ChangeKind::Conflict;
  if (!Answer.EarlierAttemptUnknown_)
    return Outcome;
  BOOST_LEAF_AUTO(Stored,
                  waitForRevision(Client, Change.Name_, Outcome.Revision_));
  Outcome.Revision_ = Stored.Revision_;
  Outcome.CurrentText_ = std::move(Stored.Text_);
  if (Stored.ChangeId_ == Change.ChangeId_)
    Outcome.Kind_ = ChangeKind::Accepted;
  else
    Outcome.MayHaveBeenReplaced_ = true;
  return Outcome;
}

} // namespace

Result<state::StoredDocument> readService(AdminClient &Client,
                                          const std::string &Name) {
  BOOST_LEAF_AUTO(Path, servicePath(Name));
  Expected<std::string> Body = capture([&] { return Client.get(Path); });
  if (Body)
    return parseStoredDocument(*Body);
  if (Body.error().Code_ != ErrorCode::NotFound)
    return fail(Body.error().Code_, Body.error().Message_);
  state::StoredDocument Absent;
  Absent.Name_ = Name;
  return Absent;
}

Result<ChangeOutcome> submitChange(AdminClient &Client,
                                   const DocumentChange &Change) {
  BOOST_LEAF_AUTO(Answer, Client.change(Change));
  ChangeOutcome Outcome;
  int Status = Answer.Reply_.Status_;
  if (Status == StatusConflict)
    return resolveConflict(Client, Change, Answer);
  if (Status == StatusOk) {
    BOOST_LEAF_ASSIGN(Outcome.Revision_, parseRevision(Answer.Reply_.Body_));
    return Outcome;
  }
  if (Status == StatusRejected) {
    Outcome.Kind_ = ChangeKind::Rejected;
    BOOST_LEAF_ASSIGN(Outcome.Faults_, parseFaults(Answer.Reply_.Body_));
    return Outcome;
  }
  return fail(Answer.EarlierAttemptUnknown_ ? ErrorCode::Ambiguous
                                            : ErrorCode::Unavailable,
              describeProblem(Answer.Reply_));
}

std::string makeChangeId() { return randomHex(ChangeIdBytes); }

} // namespace amaranth::control
