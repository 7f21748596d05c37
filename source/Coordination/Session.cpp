#include "Coordination/Session.h"

#include "Coordination/Journal.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace amaranth::coordination {

namespace {

using protocol::Compare;
using protocol::Mutation;

constexpr char SessionPrefix[] = "/amaranth/sessions/";
/// Delay between attempts to delete the session at exit.
constexpr Milliseconds CloseRetryDelay{20};

/// \p Instance distinguishes processes that chose the same incarnation.
std::string toJson(const SessionRecord &Record, const std::string &Instance) {
  nlohmann::json Json;
  Json["instance"] = Instance;
  Json["host"] = Record.Host_;
  Json["data_centre"] = Record.DataCentre_;
  Json["caller_address"] = Record.CallerAddress_;
  Json["peer_address"] = Record.PeerAddress_;
  Json["incarnation"] = Record.Incarnation_;
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<SessionRecord> fromJson(const std::string &Text) {
  auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  for (const char *Field :
       {"host", "data_centre", "caller_address", "peer_address"})
    if (!Json.contains(Field) || !Json[Field].is_string())
      return std::nullopt;
  if (!Json.contains("incarnation") || !Json["incarnation"].is_number())
    return std::nullopt;
  SessionRecord Record;
  Record.Host_ = Json["host"];
  Record.DataCentre_ = Json["data_centre"];
  Record.CallerAddress_ = Json["caller_address"];
  Record.PeerAddress_ = Json["peer_address"];
  Record.Incarnation_ = Json["incarnation"];
  return Record;
}

/// Creates the session unless it exists or was closed. Without the second
/// condition a delayed repetition could reopen a closed session.
protocol::Transaction createTransaction(const SessionRecord &Record,
                                        const std::string &Value) {
  std::string Key = Session::sessionKey(Record.Host_, Record.Incarnation_);
  std::string ClosedKey = Journal::closedKey(Record.Host_, Record.Incarnation_);
  protocol::Transaction Create;
  Create.Conditions_.push_back({Key, Compare::Field::CreateRevision});
  Create.Conditions_.push_back({ClosedKey, Compare::Field::CreateRevision});
  Create.Writes_.push_back({Mutation::Kind::Put, Key, Value});
  Create.ReadOnFailure_.push_back(Key);
  return Create;
}

/// A number above \p Previous, even if the wall clock was set back.
std::uint64_t nextIncarnation(std::uint64_t Previous) {
  return std::max(Previous + 1,
                  static_cast<std::uint64_t>(unixTimeNow().count()));
}

} // namespace

Session::Session(SessionSettings Settings, protocol::KeyValueStore &Store,
                 SessionListener *Listener)
    : Settings_(std::move(Settings)), Store_(Store), Listener_(Listener),
      Instance_(randomHex(8)) {
  Incarnation_ = Settings_.Self_.Incarnation_;
  if (Incarnation_ == 0)
    Incarnation_ = static_cast<std::uint64_t>(unixTimeNow().count());
  Thread_ = std::thread([this] { run(); });
}

Session::~Session() {
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
  }
  StateChanged_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
}

std::optional<OpenSession> Session::current() const {
  std::lock_guard Lock(Mutex_);
  return Open_;
}

std::uint64_t Session::incarnation() const {
  std::lock_guard Lock(Mutex_);
  return Incarnation_;
}

bool Session::isUnavailable() const {
  std::lock_guard Lock(Mutex_);
  return Unavailable_;
}

void Session::reportDeleted(std::uint64_t Incarnation) {
  std::lock_guard Lock(Mutex_);
  if (!Open_ || Open_->Incarnation_ != Incarnation)
    return;
  LogEvent(LogLevel::Warn, "session_deleted").field("incarnation", Incarnation);
  Open_.reset();
  Incarnation_ = nextIncarnation(Incarnation);
  StateChanged_.notify_all();
}

bool Session::waitOpen(Milliseconds Timeout) const {
  std::unique_lock Lock(Mutex_);
  return StateChanged_.wait_for(Lock, Timeout,
                                [this] { return Open_.has_value(); });
}

Result<void> Session::close(Milliseconds Timeout) {
  SteadyTime Deadline = SteadyClock::now() + Timeout;
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
    Open_.reset();
  }
  StateChanged_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
  auto CloseRequest = closeTransaction(Settings_.Self_.Host_, incarnation());
  while (true) {
    Milliseconds CallTimeout =
        std::min(Settings_.CallTimeout_, remaining(Deadline));
    auto Reply =
        capture([&] { return Store_.commit(CloseRequest, CallTimeout); });
    if (Reply)
      return {};
    // Once the session is deleted the transaction has no effect, so it can be
    // repeated after an ambiguous reply.
    if (Reply.error().Code_ != ErrorCode::Ambiguous ||
        remaining(Deadline) == Milliseconds{0})
      return fail(Reply.error().Code_, Reply.error().Message_);
    std::this_thread::sleep_for(std::min(CloseRetryDelay, remaining(Deadline)));
  }
}

std::string Session::sessionKey(const std::string &Host,
                                std::uint64_t Incarnation) {
  return SessionPrefix + Host + '/' + std::to_string(Incarnation);
}

protocol::Transaction Session::closeTransaction(const std::string &Host,
                                                std::uint64_t Incarnation) {
  std::string Key = sessionKey(Host, Incarnation);
  protocol::Transaction Close;
  Close.Conditions_.push_back(
      {Key, Compare::Field::CreateRevision, Compare::Relation::Greater, 0});
  Close.Writes_.push_back({Mutation::Kind::Delete, Key, ""});
  Close.Writes_.push_back(
      {Mutation::Kind::Put, Journal::closedKey(Host, Incarnation), "{}"});
  Close.Writes_.push_back(
      {Mutation::Kind::Put, Journal::closedIndexKey(Host, Incarnation), "{}"});
  return Close;
}

Result<std::vector<SessionRecord>>
Session::readSessions(protocol::KeyValueStore &Store, Milliseconds Timeout) {
  BOOST_LEAF_AUTO(Range, Store.range(SessionPrefix, true, Timeout));
  std::vector<SessionRecord> Records;
  for (const auto &Pair : Range.Pairs_) {
    auto Record = fromJson(Pair.Value_);
    if (Record)
      Records.push_back(std::move(*Record));
    else
      LogEvent(LogLevel::Warn, "session_unreadable").field("key", Pair.Key_);
  }
  return Records;
}

Result<std::optional<SessionRecord>>
Session::readSession(protocol::KeyValueStore &Store, const std::string &Host,
                     std::uint64_t Incarnation, Milliseconds Timeout) {
  BOOST_LEAF_AUTO(Range,
                  Store.range(sessionKey(Host, Incarnation), false, Timeout));
  if (Range.Pairs_.empty())
    return std::optional<SessionRecord>();
  return fromJson(Range.Pairs_.front().Value_);
}

void Session::run() {
  std::unique_lock Lock(Mutex_);
  while (!Stopping_) {
    if (Open_) {
      StateChanged_.wait(Lock);
      continue;
    }
    tryCreate(Lock);
    if (!Open_ && !Stopping_)
      StateChanged_.wait_for(Lock, Settings_.RetryDelay_,
                             [this] { return Stopping_; });
  }
}

/// Tries once to create the session; releases the lock during calls.
void Session::tryCreate(std::unique_lock<std::mutex> &Lock) {
  SessionRecord Record = Settings_.Self_;
  Record.Incarnation_ = Incarnation_;
  Lock.unlock();
  std::string Value = toJson(Record, Instance_);
  auto Reply = capture([&] {
    return Store_.commit(createTransaction(Record, Value),
                         Settings_.CallTimeout_);
  });
  std::optional<OpenSession> Opened;
  bool IncarnationTaken = false;
  if (!Reply) {
    // If this attempt created the key, the next one finds it.
    LogEvent(LogLevel::Warn, "session_not_created")
        .field("code", toString(Reply.error().Code_));
  } else if (Reply->Succeeded_) {
    Opened = OpenSession{Record.Incarnation_, Reply->StoreRevision_};
  } else if (!Reply->Found_.empty() && Reply->Found_.front().Value_ == Value) {
    Opened =
        OpenSession{Record.Incarnation_, Reply->Found_.front().CreateRevision_};
  } else {
    IncarnationTaken = true;
  }
  Lock.lock();
  Unavailable_ = !Reply;
  if (IncarnationTaken) {
    // Another process of this host has used the incarnation, for example before
    // the clock was set back, or the session was closed before its creation was
    // confirmed.
    Incarnation_ = nextIncarnation(Incarnation_);
  }
  if (!Opened || Stopping_)
    return;
  Open_ = Opened;
  StateChanged_.notify_all();
  LogEvent(LogLevel::Info, "session_open")
      .field("incarnation", Opened->Incarnation_);
  if (!Listener_)
    return;
  Lock.unlock();
  Listener_->onSessionOpen(Opened->Incarnation_);
  Lock.lock();
}

} // namespace amaranth::coordination
