#include "Standin/KeyValueStandin.h"

#include "Support/Digest.h"

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::ChunkSink;
using transport::HttpReply;

namespace {

constexpr Milliseconds ExpiryPeriod{20};

/// An error in the shape of the gRPC gateway, with the gRPC status code.
HttpReply gatewayError(const Error &Failure) {
  int Status = 400;
  int GrpcCode = 3;
  if (Failure.Code_ == ErrorCode::NotFound) {
    Status = 404;
    GrpcCode = 5;
  } else if (Failure.Code_ == ErrorCode::Conflict) {
    Status = 412;
    GrpcCode = 9;
  }
  return jsonReply(Status, {{"error", Failure.Message_},
                            {"code", GrpcCode},
                            {"message", Failure.Message_}});
}

HttpReply unavailable() {
  return jsonReply(503, {{"error", "etcdserver: no leader"},
                         {"code", 14},
                         {"message", "etcdserver: no leader"}});
}

bool writeLine(ChunkSink &Sink, const Json &Result) {
  return Sink.write(Json{{"result", Result}}.dump() + "\n");
}

/// The only answer of a transaction that has a single operation.
template <typename T> const T &only(const TransactionAnswer &Answer) {
  return std::get<T>(Answer.Answers_.at(0));
}

Json withHeader(Json Body, std::int64_t Revision) {
  Body["header"] = responseHeader(Revision);
  return Body;
}

template <typename T> KeyTransaction single(T Step) {
  KeyTransaction Request;
  Request.Success_.push_back(std::move(Step));
  return Request;
}

Json dumpEntry(const StoredPair &Pair) {
  return {{"key", Pair.Key_},
          {"value", Pair.Value_},
          {"create_revision", Pair.CreateRevision_},
          {"mod_revision", Pair.ModRevision_},
          {"version", Pair.Version_},
          {"lease", Pair.LeaseId_}};
}

} // namespace

KeyValueStandin::KeyValueStandin(const KeyValueSettings &Settings)
    : State_(static_cast<std::size_t>(Settings.HistoryLimit_)),
      Hosts_(Settings.HostListLag_), Reads_(Settings.ReadsPerSecond_),
      Writes_(Settings.WritesPerSecond_), Server_(Settings.Server_) {
  Server_.switches().add("outage", Outage_);
  Server_.switches().add("hang", Hang_);
  Server_.switches().add("delay_ms", DelayMs_);
  addApiRoutes();
  addLeaseRoutes();
  addControlRoutes();
}

KeyValueStandin::~KeyValueStandin() { stop(); }

Result<void> KeyValueStandin::start() {
  Expiry_ = Timers_.subscribe(ExpiryPeriod, [this] { State_.expireLeases(); });
  return Server_.start();
}

std::vector<Announcement> KeyValueStandin::announcements() const {
  return {{"kv", Server_.port()}};
}

void KeyValueStandin::stop() {
  Expiry_.cancel();
  Server_.stop();
}

void KeyValueStandin::addApiRoutes() {
  apiRoute("/v3/kv/range", "range", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<KeyTransaction> {
          BOOST_LEAF_AUTO(Query, readRange(Body));
          return single(Query);
        },
        [](const TransactionAnswer &Answer) {
          return withHeader(toJson(only<RangeAnswer>(Answer)),
                            Answer.Revision_);
        });
  });
  apiRoute("/v3/kv/put", "put", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<KeyTransaction> {
          BOOST_LEAF_AUTO(Write, readPut(Body));
          return single(Write);
        },
        [](const TransactionAnswer &Answer) {
          return withHeader(Json::object(), Answer.Revision_);
        });
  });
  apiRoute("/v3/kv/deleterange", "delete_range", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<KeyTransaction> {
          BOOST_LEAF_AUTO(Delete, readDelete(Body));
          return single(Delete);
        },
        [](const TransactionAnswer &Answer) {
          return withHeader(toJson(only<DeleteAnswer>(Answer)),
                            Answer.Revision_);
        });
  });
  apiRoute("/v3/kv/txn", "txn", [this](StandinCall &Call) {
    return commit(Call, readTransaction, [](const TransactionAnswer &Answer) {
      return toJson(Answer);
    });
  });
  apiRoute("/v3/watch", "watch",
           [this](StandinCall &Call) { return watch(Call); });
}

void KeyValueStandin::addLeaseRoutes() {
  apiRoute("/v3/lease/grant", "lease_grant",
           [this](StandinCall &Call) { return grant(Call.Body_); });
  apiRoute("/v3/lease/keepalive", "lease_keepalive",
           [this](StandinCall &Call) { return keepAlive(Call.Body_); });
  for (const char *Path : {"/v3/lease/revoke", "/v3/kv/lease/revoke"})
    apiRoute(Path, "lease_revoke",
             [this](StandinCall &Call) { return revoke(Call.Body_); });
}

void KeyValueStandin::addControlRoutes() {
  Server_.route("GET", "/v1/hosts", "hosts", [this](StandinCall &) {
    return jsonReply(200, Hosts_.visible());
  });
  Server_.route("PUT", "/v1/hosts", "", [this](StandinCall &Call) {
    if (!Hosts_.set(Call.Body_))
      return errorReply(400, "state must be live or leaving");
    return jsonReply(200, Json::object());
  });
  Server_.route("GET", "/standin/keys", "", [this](StandinCall &) {
    Json Keys = Json::array();
    for (const StoredPair &Pair : State_.dump())
      Keys.push_back(dumpEntry(Pair));
    return jsonReply(200, {{"revision", State_.revision()}, {"keys", Keys}});
  });
  Server_.route("PUT", "/standin/lost-replies", "", [this](StandinCall &Call) {
    std::lock_guard Lock(LossMutex_);
    LossPrefix_ = Call.Body_.value("key_prefix", "");
    LossCount_ = Call.Body_.at("count").get<std::int64_t>();
    return jsonReply(200, {{"count", LossCount_}});
  });
  Server_.route("GET", "/standin/lost-replies", "", [this](StandinCall &) {
    std::lock_guard Lock(LossMutex_);
    return jsonReply(200, {{"count", LossCount_}});
  });
}

void KeyValueStandin::apiRoute(const std::string &Path, const std::string &Kind,
                               StandinServer::Handler Handle) {
  RateLimiter &Rate = Kind == "range" ? Reads_ : Writes_;
  Server_.route("POST", Path, Kind,
                [this, &Rate, Handle = std::move(Handle)](StandinCall &Call) {
                  HttpReply Reply;
                  if (!passFaults(Call, Rate, Reply))
                    return Reply;
                  return Handle(Call);
                });
}

/// False if the call ends here, with \p Reply.
bool KeyValueStandin::passFaults(StandinCall &Call, RateLimiter &Rate,
                                 HttpReply &Reply) {
  Reply = unavailable();
  if (Hang_) {
    Server_.interruption().waitFor(
        [&] { return !Hang_ || Call.Connection_.closed(); });
    // A call that hung is never answered, as if its packets had been lost.
    Call.Connection_.cut();
    return false;
  }
  if (Outage_)
    return false;
  return Server_.interruption().sleepUntil(Rate.reserve() +
                                           Milliseconds{DelayMs_});
}

HttpReply KeyValueStandin::commit(StandinCall &Call, const Reader &Read,
                                  const Writer &Write) {
  auto Outcome = capture([&]() -> Result<TransactionAnswer> {
    BOOST_LEAF_AUTO(Request, Read(Call.Body_));
    return State_.commit(Request);
  });
  if (!Outcome)
    return gatewayError(Outcome.error());
  Server_.interruption().notify();
  if (losesReply(*Outcome))
    Call.Connection_.cut();
  return jsonReply(200, Write(*Outcome));
}

bool KeyValueStandin::losesReply(const TransactionAnswer &Answer) {
  std::lock_guard Lock(LossMutex_);
  if (LossCount_ <= 0)
    return false;
  for (const std::string &Key : Answer.WrittenKeys_) {
    if (Key.compare(0, LossPrefix_.size(), LossPrefix_) == 0) {
      --LossCount_;
      return true;
    }
  }
  return false;
}

HttpReply KeyValueStandin::grant(const Json &Body) {
  std::int64_t TimeToLive = 0;
  auto Outcome = capture([&]() -> Result<std::int64_t> {
    BOOST_LEAF_ASSIGN(TimeToLive, readInteger(Body, "TTL"));
    BOOST_LEAF_AUTO(Id, readInteger(Body, "ID"));
    return State_.grant(Id, Seconds{TimeToLive});
  });
  if (!Outcome)
    return gatewayError(Outcome.error());
  return jsonReply(200, {{"header", responseHeader(State_.revision())},
                         {"ID", std::to_string(*Outcome)},
                         {"TTL", std::to_string(TimeToLive)}});
}

HttpReply KeyValueStandin::keepAlive(const Json &Body) {
  auto Id = capture([&] { return readInteger(Body, "ID"); });
  if (!Id)
    return gatewayError(Id.error());
  Json Result = {{"header", responseHeader(State_.revision())},
                 {"ID", std::to_string(*Id)}};
  Seconds Left = State_.keepAlive(*Id);
  if (Left.count() > 0)
    Result["TTL"] = std::to_string(Left.count());
  return jsonReply(200, {{"result", Result}});
}

HttpReply KeyValueStandin::revoke(const Json &Body) {
  auto Outcome = capture([&]() -> Result<void> {
    BOOST_LEAF_AUTO(Id, readInteger(Body, "ID"));
    return State_.revoke(Id);
  });
  if (!Outcome)
    return gatewayError(Outcome.error());
  Server_.interruption().notify();
  return jsonReply(200, {{"header", responseHeader(State_.revision())}});
}

HttpReply KeyValueStandin::watch(StandinCall &Call) {
  auto Request = capture([&] { return readWatch(Call.Body_); });
  if (!Request)
    return gatewayError(Request.error());
  HttpReply Reply;
  Reply.StreamBody_ = [this, Request = *Request, Client = Call.Connection_](
                          ChunkSink &Sink) { stream(Request, Client, Sink); };
  return Reply;
}

/// Writes events until the client leaves. A refusing outage cuts the stream; a
/// hanging one keeps it open and silent.
void KeyValueStandin::stream(const WatchRequest &Request, Connection Client,
                             ChunkSink &Sink) {
  std::int64_t Current = State_.revision();
  std::int64_t Next =
      Request.StartRevision_ > 0 ? Request.StartRevision_ : Current + 1;
  writeLine(Sink, {{"header", responseHeader(Current)}, {"created", true}});
  if (Next < State_.firstKept()) {
    writeLine(Sink, {{"header", responseHeader(Current)},
                     {"canceled", true},
                     {"compact_revision", std::to_string(State_.firstKept())}});
    return;
  }
  while (true) {
    bool Ready = Server_.interruption().waitFor([&] {
      return Outage_ || Client.closed() ||
             (!Hang_ && State_.revision() >= Next);
    });
    if (!Ready || Outage_ || Client.closed())
      break;
    Current = State_.revision();
    for (const RevisionEvents &Part : State_.events(Request.Range_, Next)) {
      Json Events = Json::array();
      for (const KeyEvent &Event : Part.Events_)
        Events.push_back(toJson(Event));
      writeLine(Sink, {{"header", responseHeader(Part.Revision_)},
                       {"events", Events}});
      Next = Part.Revision_ + 1;
    }
    Next = std::max(Next, Current + 1);
  }
  Client.cut();
}

} // namespace amaranth::standin
