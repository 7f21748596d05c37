#include "Protocol/EtcdClient.h"

#include "Support/Digest.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <condition_variable>
#include <thread>

namespace amaranth::protocol {

using nlohmann::json;
using transport::CallFailure;
using transport::HttpCall;
using transport::HttpOutcome;

namespace detail {

/// A reply of the service with status 200.
struct EtcdReply {
  json Body_;
};

} // namespace detail

namespace {

/// Idle connections kept for each endpoint.
constexpr std::size_t MaxIdleConnections = 8;

/// Deadline of a watch; the service closes it long before.
constexpr std::chrono::hours WatchLifetime{24};

bool isWrite(KeyValueCall Kind) {
  return Kind != KeyValueCall::Range && Kind != KeyValueCall::Watch;
}

/// End of the range of keys that start with \p Prefix.
std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xff)
    Prefix.pop_back();
  if (Prefix.empty())
    return std::string(1, '\0');
  Prefix.back() = static_cast<char>(Prefix.back() + 1);
  return Prefix;
}

const json &findMember(const json &Object, const char *Name) {
  static const json Missing;
  if (!Object.is_object())
    return Missing;
  auto Found = Object.find(Name);
  return Found == Object.end() ? Missing : *Found;
}

/// Reads a 64-bit integer, which the gateway writes as a string and omits if
/// zero.
template <typename T>
Result<T> readInteger(const json &Object, const char *Name) {
  const json &Value = findMember(Object, Name);
  if (Value.is_null())
    return T{0};
  if (Value.is_number_integer())
    return Value.get<T>();
  T Number = 0;
  if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    const char *End = Text.data() + Text.size();
    auto [ParsedEnd, Fault] = std::from_chars(Text.data(), End, Number);
    if (Fault == std::errc() && ParsedEnd == End)
      return Number;
  }
  return fail(ErrorCode::CorruptData,
              std::string("key-value reply: ") + Name + " is not an integer");
}

bool readFlag(const json &Object, const char *Name) {
  const json &Value = findMember(Object, Name);
  return Value.is_boolean() && Value.get<bool>();
}

Result<std::string> readBytes(const json &Object, const char *Name) {
  const json &Value = findMember(Object, Name);
  if (Value.is_null())
    return std::string();
  if (!Value.is_string())
    return fail(ErrorCode::CorruptData,
                std::string("key-value reply: ") + Name + " is not a string");
  return base64Decode(Value.get_ref<const std::string &>());
}

Result<KeyValue> readPair(const json &Source) {
  KeyValue Pair;
  BOOST_LEAF_ASSIGN(Pair.Key_, readBytes(Source, "key"));
  BOOST_LEAF_ASSIGN(Pair.Value_, readBytes(Source, "value"));
  BOOST_LEAF_ASSIGN(Pair.CreateRevision_,
                    readInteger<std::uint64_t>(Source, "create_revision"));
  BOOST_LEAF_ASSIGN(Pair.ModRevision_,
                    readInteger<std::uint64_t>(Source, "mod_revision"));
  BOOST_LEAF_ASSIGN(Pair.LeaseId_, readInteger<std::int64_t>(Source, "lease"));
  return Pair;
}

Result<void> appendPairs(const json &Source, std::vector<KeyValue> &Pairs) {
  for (const json &Item : findMember(Source, "kvs")) {
    BOOST_LEAF_AUTO(Pair, readPair(Item));
    Pairs.push_back(std::move(Pair));
  }
  return {};
}

Result<std::uint64_t> storeRevision(const json &Reply) {
  return readInteger<std::uint64_t>(findMember(Reply, "header"), "revision");
}

Result<RangeResult> readRange(const json &Reply) {
  RangeResult Range;
  BOOST_LEAF_ASSIGN(Range.StoreRevision_, storeRevision(Reply));
  BOOST_LEAF_CHECK(appendPairs(Reply, Range.Pairs_));
  return Range;
}

Result<TransactionResult> readTransaction(const json &Reply) {
  TransactionResult Outcome;
  Outcome.Succeeded_ = readFlag(Reply, "succeeded");
  BOOST_LEAF_ASSIGN(Outcome.StoreRevision_, storeRevision(Reply));
  for (const json &Response : findMember(Reply, "responses"))
    BOOST_LEAF_CHECK(
        appendPairs(findMember(Response, "response_range"), Outcome.Found_));
  return Outcome;
}

/// Reads the identifier and time to live; a renewal of an expired lease has
/// none.
Result<LeaseGrant> readLease(const json &Reply) {
  LeaseGrant Grant;
  BOOST_LEAF_ASSIGN(Grant.Id_, readInteger<std::int64_t>(Reply, "ID"));
  BOOST_LEAF_AUTO(TimeToLive, readInteger<std::int64_t>(Reply, "TTL"));
  Grant.TimeToLive_ = Seconds(TimeToLive);
  return Grant;
}

Result<WatchEvent> readEvent(const json &Source) {
  WatchEvent Event;
  Event.Deleted_ = findMember(Source, "type") == "DELETE";
  BOOST_LEAF_ASSIGN(Event.Pair_, readPair(findMember(Source, "kv")));
  return Event;
}

Result<std::vector<WatchEvent>> readEvents(const json &Message) {
  std::vector<WatchEvent> Events;
  for (const json &Item : findMember(Message, "events")) {
    BOOST_LEAF_AUTO(Event, readEvent(Item));
    Events.push_back(std::move(Event));
  }
  return Events;
}

json writeCompare(const Compare &Condition) {
  const bool Creation = Condition.Field_ == Compare::Field::CreateRevision;
  const bool Equal = Condition.Relation_ == Compare::Relation::Equal;
  json Comparison;
  Comparison["key"] = base64Encode(Condition.Key_);
  Comparison["target"] = Creation ? "CREATE" : "MOD";
  Comparison["result"] = Equal ? "EQUAL" : "GREATER";
  Comparison[Creation ? "create_revision" : "mod_revision"] =
      std::to_string(Condition.Revision_);
  return Comparison;
}

json writeMutation(const Mutation &Write) {
  json Body;
  Body["key"] = base64Encode(Write.Key_);
  if (Write.Kind_ != Mutation::Kind::Put) {
    if (Write.Kind_ == Mutation::Kind::DeletePrefix)
      Body["range_end"] = base64Encode(prefixEnd(Write.Key_));
    return json{{"request_delete_range", std::move(Body)}};
  }
  Body["value"] = base64Encode(Write.Value_);
  if (Write.LeaseId_ != 0)
    Body["lease"] = std::to_string(Write.LeaseId_);
  return json{{"request_put", std::move(Body)}};
}

json writeTransaction(const Transaction &Request) {
  json Body{{"compare", json::array()},
            {"success", json::array()},
            {"failure", json::array()}};
  for (const Compare &Condition : Request.Conditions_)
    Body["compare"].push_back(writeCompare(Condition));
  for (const Mutation &Write : Request.Writes_)
    Body["success"].push_back(writeMutation(Write));
  for (const std::string &Key : Request.ReadOnFailure_)
    Body["failure"].push_back(
        {{"request_range", {{"key", base64Encode(Key)}}}});
  return Body;
}

/// The error for a call without a complete reply.
Error noReplyError(KeyValueCall Kind, CallFailure Failure) {
  const bool MayHaveRun = isWrite(Kind) && Failure != CallFailure::NotSent;
  return {MayHaveRun ? ErrorCode::Ambiguous : ErrorCode::Unavailable,
          std::string("key-value service: ") + toString(Kind) + ": " +
              transport::toString(Failure)};
}

/// The error for a reply with a status other than 200. Of the server errors,
/// only a missing leader and too many requests (429) show that the write was
/// not applied; it may have been applied before a time-out inside the service.
Error statusError(KeyValueCall Kind, const transport::HttpReply &Reply) {
  json Body = json::parse(Reply.Body_, nullptr, false);
  const json &Explanation = findMember(Body, "message");
  std::string Reason =
      Explanation.is_string() ? Explanation.get<std::string>() : "";
  Error Failure;
  Failure.Message_ = std::string("key-value service: ") + toString(Kind) +
                     ": status " + std::to_string(Reply.Status_) + " " + Reason;
  const bool NotApplied =
      Reply.Status_ == 429 || Reason.find("no leader") != std::string::npos;
  if (Reply.Status_ == 404)
    Failure.Code_ = ErrorCode::NotFound;
  else if (NotApplied || (Reply.Status_ >= 500 && !isWrite(Kind)))
    Failure.Code_ = ErrorCode::Unavailable;
  else if (Reply.Status_ >= 500)
    Failure.Code_ = ErrorCode::Ambiguous;
  else
    Failure.Code_ = ErrorCode::InvalidArgument;
  return Failure;
}

/// A write whose reply cannot be read may have taken effect.
Error unreadableError(KeyValueCall Kind) {
  return {isWrite(Kind) ? ErrorCode::Ambiguous : ErrorCode::CorruptData,
          std::string("key-value service: ") + toString(Kind) +
              ": the reply is not the expected JSON"};
}

/// Decodes a reply with \p Read; any error becomes unreadableError().
template <typename F>
auto decode(KeyValueCall Kind, const json &Body, F &&Read)
    -> decltype(Read(Body)) {
  auto Decoded = capture([&] { return Read(Body); });
  if (!Decoded)
    return boost::leaf::new_error(unreadableError(Kind));
  return std::move(Decoded.value());
}

} // namespace

const char *toString(KeyValueCall Call) {
  switch (Call) {
  case KeyValueCall::Range:
    return "range";
  case KeyValueCall::Commit:
    return "commit";
  case KeyValueCall::GrantLease:
    return "grant_lease";
  case KeyValueCall::KeepAlive:
    return "keep_alive";
  case KeyValueCall::RevokeLease:
    return "revoke_lease";
  case KeyValueCall::Watch:
    return "watch";
  }
  return "unknown";
}

/// One open watch: a streamed call on a thread of its own.
class EtcdWatch final : public Watch {
public:
  EtcdWatch(EtcdClient &Client, std::string Body, WatchListener &Listener)
      : Client_(Client), Body_(std::move(Body)), Listener_(Listener),
        Thread_([this] { run(); }) {}

  ~EtcdWatch() override {
    std::unique_lock Lock(Mutex_);
    Stopping_ = true;
    // A cancellation that arrives while the connection is being opened has no
    // effect, so it is repeated until the thread has ended.
    constexpr Milliseconds CancelInterval{10};
    while (!Ended_) {
      Lock.unlock();
      Cancel_.cancel();
      Lock.lock();
      Changed_.wait_for(Lock, CancelInterval, [this] { return Ended_; });
    }
    Lock.unlock();
    Thread_.join();
  }

private:
  void run() {
    const std::size_t Index = Client_.Preferred_;
    HttpCall Call;
    Call.Address_ = Client_.Settings_.Endpoints_[Index];
    Call.Path_ = "/v3/watch";
    Call.Body_ = Body_;
    Call.Deadline_ = SteadyClock::now() + WatchLifetime;
    Call.ProgressTimeout_ = Client_.Settings_.WatchIdleTimeout_;
    Call.FreshConnection_ = true;
    Call.Cancel_ = &Cancel_;
    Call.OnChunk_ = [this](std::string_view Chunk) { return onChunk(Chunk); };
    if (Client_.Observer_)
      Client_.Observer_->onCall(KeyValueCall::Watch);
    HttpOutcome Outcome = Client_.Http_.call(Call);
    onEnd(Index, Outcome);
  }

  void onEnd(std::size_t Index, const HttpOutcome &Outcome) {
    if (!stopping()) {
      Client_.preferNextEndpoint(Index);
      const char *Reason = Outcome.Ok_ ? "closed by the service"
                                       : transport::toString(Outcome.Failure_);
      LogEvent(LogLevel::Info, "watch_end").field("reason", Reason);
      Listener_.onWatchEnd();
    }
    // Notifies under the lock, because the destructor may run as soon as it is
    // released.
    std::lock_guard Lock(Mutex_);
    Ended_ = true;
    Changed_.notify_all();
  }

  bool stopping() {
    std::lock_guard Lock(Mutex_);
    return Stopping_;
  }

  /// Splits the chunks into lines; returning false ends the watch.
  bool onChunk(std::string_view Chunk) {
    if (stopping())
      return false;
    Buffer_.append(Chunk);
    std::size_t Begin = 0;
    for (std::size_t End = Buffer_.find('\n'); End != std::string::npos;
         End = Buffer_.find('\n', Begin)) {
      if (!onMessage(std::string_view(Buffer_).substr(Begin, End - Begin)))
        return false;
      Begin = End + 1;
    }
    Buffer_.erase(0, Begin);
    return Buffer_.size() <= Client_.Settings_.MaxWatchMessageBytes_;
  }

  bool onMessage(std::string_view Line) {
    if (Line.empty())
      return true;
    json Parsed = json::parse(Line, nullptr, false);
    const json &Content = findMember(Parsed, "result");
    if (!Content.is_object() || readFlag(Content, "canceled"))
      return false;
    auto Events = capture([&] { return readEvents(Content); });
    if (!Events)
      return false;
    if (!Events->empty())
      Listener_.onEvents(*Events);
    return true;
  }

  EtcdClient &Client_;
  std::string Body_;
  WatchListener &Listener_;
  transport::CancelToken Cancel_;
  std::string Buffer_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  bool Ended_ = false;
  std::thread Thread_;
};

EtcdClient::EtcdClient(const EtcdClientSettings &Settings,
                       KeyValueObserver *Observer)
    : Settings_(Settings), Observer_(Observer),
      Http_({.MaxIdlePerAddress_ = MaxIdleConnections}) {
  assert(!Settings_.Endpoints_.empty());
}

EtcdClient::~EtcdClient() = default;

void EtcdClient::preferNextEndpoint(std::size_t Index) {
  std::size_t Current = Index;
  Preferred_.compare_exchange_strong(Current,
                                     (Index + 1) % Settings_.Endpoints_.size());
}

Result<detail::EtcdReply> EtcdClient::call(KeyValueCall Kind,
                                           const std::string &Path,
                                           const std::string &Body,
                                           Milliseconds Timeout) {
  const std::size_t EndpointCount = Settings_.Endpoints_.size();
  const std::size_t FirstIndex = Preferred_;
  HttpCall Call;
  Call.Path_ = Path;
  Call.Body_ = Body;
  Call.Deadline_ = SteadyClock::now() + Timeout;
  Error Failure{ErrorCode::Unavailable, "key-value service: no time left"};
  for (std::size_t I = 0; I < EndpointCount; ++I) {
    const std::size_t Index = (FirstIndex + I) % EndpointCount;
    Milliseconds TimeLeft = remaining(Call.Deadline_);
    if (TimeLeft.count() == 0)
      break;
    // Divides the time left, so that an unresponsive endpoint leaves time to
    // read from the others.
    const auto EndpointsLeft =
        static_cast<Milliseconds::rep>(EndpointCount - I);
    Call.ProgressTimeout_ =
        isWrite(Kind) ? TimeLeft
                      : std::max(TimeLeft / EndpointsLeft, Milliseconds{1});
    Call.Address_ = Settings_.Endpoints_[Index];
    auto Reply = attempt(Kind, Call);
    if (Reply)
      return std::move(Reply.value());
    Failure = Reply.error();
    const bool Refused = Failure.Code_ == ErrorCode::InvalidArgument ||
                         Failure.Code_ == ErrorCode::NotFound;
    if (!Refused)
      preferNextEndpoint(Index);
    if (Failure.Code_ != ErrorCode::Unavailable)
      break;
  }
  return boost::leaf::new_error(std::move(Failure));
}

Expected<detail::EtcdReply> EtcdClient::attempt(KeyValueCall Kind,
                                                const HttpCall &Call) {
  HttpOutcome Outcome = Http_.call(Call);
  if (Observer_ && (Outcome.Ok_ || Outcome.Failure_ != CallFailure::NotSent))
    Observer_->onCall(Kind);
  if (!Outcome.Ok_) {
    Http_.dropIdle(Call.Address_);
    return noReplyError(Kind, Outcome.Failure_);
  }
  if (Outcome.Reply_.Status_ != 200)
    return statusError(Kind, Outcome.Reply_);
  detail::EtcdReply Reply{json::parse(Outcome.Reply_.Body_, nullptr, false)};
  if (!Reply.Body_.is_object())
    return unreadableError(Kind);
  return Reply;
}

Result<RangeResult> EtcdClient::range(const std::string &Key, bool Prefix,
                                      Milliseconds Timeout) {
  json Body{{"key", base64Encode(Key)}};
  if (Prefix)
    Body["range_end"] = base64Encode(prefixEnd(Key));
  BOOST_LEAF_AUTO(
      Reply, call(KeyValueCall::Range, "/v3/kv/range", Body.dump(), Timeout));
  return decode(KeyValueCall::Range, Reply.Body_, readRange);
}

Result<TransactionResult> EtcdClient::commit(const Transaction &Request,
                                             Milliseconds Timeout) {
  std::string Body = writeTransaction(Request).dump();
  BOOST_LEAF_AUTO(Reply,
                  call(KeyValueCall::Commit, "/v3/kv/txn", Body, Timeout));
  return decode(KeyValueCall::Commit, Reply.Body_, readTransaction);
}

Result<LeaseGrant> EtcdClient::grantLease(Seconds TimeToLive,
                                          Milliseconds Timeout) {
  json Body{{"TTL", std::to_string(TimeToLive.count())}};
  BOOST_LEAF_AUTO(Reply, call(KeyValueCall::GrantLease, "/v3/lease/grant",
                              Body.dump(), Timeout));
  BOOST_LEAF_AUTO(Grant,
                  decode(KeyValueCall::GrantLease, Reply.Body_, readLease));
  if (Grant.Id_ == 0 || Grant.TimeToLive_.count() <= 0)
    return boost::leaf::new_error(unreadableError(KeyValueCall::GrantLease));
  return Grant;
}

Result<LeaseGrant> EtcdClient::keepAlive(std::int64_t LeaseId,
                                         Milliseconds Timeout) {
  json Body{{"ID", std::to_string(LeaseId)}};
  BOOST_LEAF_AUTO(Reply, call(KeyValueCall::KeepAlive, "/v3/lease/keepalive",
                              Body.dump(), Timeout));
  const json &Content = findMember(Reply.Body_, "result");
  if (!Content.is_object())
    return boost::leaf::new_error(unreadableError(KeyValueCall::KeepAlive));
  BOOST_LEAF_AUTO(Grant, decode(KeyValueCall::KeepAlive, Content, readLease));
  if (Grant.TimeToLive_.count() <= 0)
    return fail(ErrorCode::NotFound, "the key-value lease has expired");
  return Grant;
}

Result<void> EtcdClient::revokeLease(std::int64_t LeaseId,
                                     Milliseconds Timeout) {
  json Body{{"ID", std::to_string(LeaseId)}};
  BOOST_LEAF_CHECK(call(KeyValueCall::RevokeLease, "/v3/lease/revoke",
                        Body.dump(), Timeout));
  return {};
}

Result<std::unique_ptr<Watch>> EtcdClient::watch(const std::string &Prefix,
                                                 std::uint64_t FromRevision,
                                                 WatchListener &Listener) {
  json Request{{"key", base64Encode(Prefix)},
               {"range_end", base64Encode(prefixEnd(Prefix))},
               {"start_revision", std::to_string(FromRevision)},
               {"progress_notify", true}};
  json Body{{"create_request", std::move(Request)}};
  return std::make_unique<EtcdWatch>(*this, Body.dump(), Listener);
}

} // namespace amaranth::protocol
