#include "Standin/KeyValueStandin.h"

#include "Support/Digest.h"

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::ChunkSink;
using transport::HttpReply;

namespace {

constexpr Milliseconds LeaseExpiryPeriod{20};

/// An error reply as the gRPC gateway sends it, with the gRPC status code.
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

HttpReply unavailableReply() {
  return jsonReply(503, {{"error", "etcdserver: no leader"},
                         {"code", 14},
                         {"message", "etcdserver: no leader"}});
}

bool writeResult(ChunkSink &Sink, const Json &Result) {
  return Sink.write(Json{{"result", Result}}.dump() + "\n");
}

/// The response to the single operation of a transaction.
template <typename T>
const T &soleResponse(const TransactionResponse &Response) {
  return std::get<T>(Response.Responses_.at(0));
}

Json withHeader(Json Body, std::int64_t Revision) {
  Body["header"] = responseHeader(Revision);
  return Body;
}

template <typename T> TransactionRequest singleOperation(T Op) {
  TransactionRequest Request;
  Request.Success_.push_back(std::move(Op));
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
      Hosts_(Settings.HostListLag_), ReadLimiter_(Settings.ReadsPerSecond_),
      WriteLimiter_(Settings.WritesPerSecond_), Server_(Settings.Server_) {
  Server_.switches().add("outage", Outage_);
  Server_.switches().add("hang", Hang_);
  Server_.switches().add("delay_ms", DelayMs_);
  addApiRoutes();
  addLeaseRoutes();
  addControlRoutes();
}

KeyValueStandin::~KeyValueStandin() { stop(); }

Result<void> KeyValueStandin::start() {
  LeaseExpiryTimer_ =
      Timers_.subscribe(LeaseExpiryPeriod, [this] { State_.expireLeases(); });
  return Server_.start();
}

std::vector<Announcement> KeyValueStandin::announcements() const {
  return {{"kv", Server_.port()}};
}

void KeyValueStandin::stop() {
  LeaseExpiryTimer_.cancel();
  Server_.stop();
}

void KeyValueStandin::addApiRoutes() {
  addApiRoute("/v3/kv/range", "range", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<TransactionRequest> {
          BOOST_LEAF_AUTO(Query, readRange(Body));
          return singleOperation(Query);
        },
        [](const TransactionResponse &Response) {
          return withHeader(toJson(soleResponse<RangeResponse>(Response)),
                            Response.Revision_);
        });
  });
  addApiRoute("/v3/kv/put", "put", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<TransactionRequest> {
          BOOST_LEAF_AUTO(Put, readPut(Body));
          return singleOperation(Put);
        },
        [](const TransactionResponse &Response) {
          return withHeader(Json::object(), Response.Revision_);
        });
  });
  addApiRoute("/v3/kv/deleterange", "delete_range", [this](StandinCall &Call) {
    return commit(
        Call,
        [](const Json &Body) -> Result<TransactionRequest> {
          BOOST_LEAF_AUTO(Delete, readDelete(Body));
          return singleOperation(Delete);
        },
        [](const TransactionResponse &Response) {
          return withHeader(toJson(soleResponse<DeleteResponse>(Response)),
                            Response.Revision_);
        });
  });
  addApiRoute("/v3/kv/txn", "txn", [this](StandinCall &Call) {
    return commit(
        Call, readTransaction,
        [](const TransactionResponse &Response) { return toJson(Response); });
  });
  addApiRoute("/v3/watch", "watch",
              [this](StandinCall &Call) { return openWatch(Call); });
}

void KeyValueStandin::addLeaseRoutes() {
  addApiRoute("/v3/lease/grant", "lease_grant",
              [this](StandinCall &Call) { return grantLease(Call.Body_); });
  addApiRoute("/v3/lease/keepalive", "lease_keepalive",
              [this](StandinCall &Call) { return renewLease(Call.Body_); });
  for (const char *Path : {"/v3/lease/revoke", "/v3/kv/lease/revoke"})
    addApiRoute(Path, "lease_revoke",
                [this](StandinCall &Call) { return revokeLease(Call.Body_); });
}

void KeyValueStandin::addControlRoutes() {
  Server_.addRoute("GET", "/v1/hosts", "hosts", [this](StandinCall &) {
    return jsonReply(200, Hosts_.visibleHosts());
  });
  Server_.addRoute("PUT", "/v1/hosts", "", [this](StandinCall &Call) {
    if (!Hosts_.setHosts(Call.Body_))
      return errorReply(400, "state must be live or leaving");
    return jsonReply(200, Json::object());
  });
  Server_.addRoute("GET", "/standin/keys", "", [this](StandinCall &) {
    Json Keys = Json::array();
    for (const StoredPair &Pair : State_.dump())
      Keys.push_back(dumpEntry(Pair));
    return jsonReply(200, {{"revision", State_.revision()}, {"keys", Keys}});
  });
  Server_.addRoute(
      "PUT", "/standin/lost-replies", "", [this](StandinCall &Call) {
        std::lock_guard Lock(LostReplyMutex_);
        LostReplyPrefix_ = Call.Body_.value("key_prefix", "");
        LostReplyCount_ = Call.Body_.at("count").get<std::int64_t>();
        return jsonReply(200, {{"count", LostReplyCount_}});
      });
  Server_.addRoute("GET", "/standin/lost-replies", "", [this](StandinCall &) {
    std::lock_guard Lock(LostReplyMutex_);
    return jsonReply(200, {{"count", LostReplyCount_}});
  });
}

void KeyValueStandin::addApiRoute(const std::string &Path,
                                  const std::string &CounterName,
                                  StandinServer::Handler HandleCall) {
  RateLimiter &Limiter = CounterName == "range" ? ReadLimiter_ : WriteLimiter_;
  Server_.addRoute(
      "POST", Path, CounterName,
      [this, &Limiter, HandleCall = std::move(HandleCall)](StandinCall &Call) {
        HttpReply Reply;
        if (!applyFaults(Call, Limiter, Reply))
          return Reply;
        return HandleCall(Call);
      });
}

/// Applies the outage, hang and delay faults and the rate limit. False if the
/// call is not to be executed and is answered with \p Reply.
bool KeyValueStandin::applyFaults(StandinCall &Call, RateLimiter &Limiter,
                                  HttpReply &Reply) {
  Reply = unavailableReply();
  if (Hang_) {
    Server_.stopSignal().waitFor(
        [&] { return !Hang_ || Call.Connection_.closedByClient(); });
    // The call is never answered, as if its packets had been lost.
    Call.Connection_.cut();
    return false;
  }
  if (Outage_)
    return false;
  return Server_.stopSignal().sleepUntil(Limiter.reserve() +
                                         Milliseconds{DelayMs_});
}

HttpReply KeyValueStandin::commit(StandinCall &Call,
                                  const RequestReader &ReadRequest,
                                  const ResponseWriter &WriteResponse) {
  auto Captured = capture([&]() -> Result<TransactionResponse> {
    BOOST_LEAF_AUTO(Request, ReadRequest(Call.Body_));
    return State_.commit(Request);
  });
  if (!Captured)
    return gatewayError(Captured.error());
  Server_.stopSignal().wakeWaiters();
  if (consumeLostReply(*Captured))
    Call.Connection_.cut();
  return jsonReply(200, WriteResponse(*Captured));
}

bool KeyValueStandin::consumeLostReply(const TransactionResponse &Response) {
  std::lock_guard Lock(LostReplyMutex_);
  if (LostReplyCount_ <= 0)
    return false;
  for (const std::string &Key : Response.WrittenKeys_) {
    if (Key.compare(0, LostReplyPrefix_.size(), LostReplyPrefix_) == 0) {
      --LostReplyCount_;
      return true;
    }
  }
  return false;
}

HttpReply KeyValueStandin::grantLease(const Json &Body) {
  std::int64_t TimeToLive = 0;
  auto Captured = capture([&]() -> Result<std::int64_t> {
    BOOST_LEAF_ASSIGN(TimeToLive, readInteger(Body, "TTL"));
    BOOST_LEAF_AUTO(Id, readInteger(Body, "ID"));
    return State_.grantLease(Id, Seconds{TimeToLive});
  });
  if (!Captured)
    return gatewayError(Captured.error());
  return jsonReply(200, {{"header", responseHeader(State_.revision())},
                         {"ID", std::to_string(*Captured)},
                         {"TTL", std::to_string(TimeToLive)}});
}

HttpReply KeyValueStandin::renewLease(const Json &Body) {
  auto Id = capture([&] { return readInteger(Body, "ID"); });
  if (!Id)
    return gatewayError(Id.error());
  Json Result = {{"header", responseHeader(State_.revision())},
                 {"ID", std::to_string(*Id)}};
  Seconds RemainingTime = State_.renewLease(*Id);
  if (RemainingTime.count() > 0)
    Result["TTL"] = std::to_string(RemainingTime.count());
  return jsonReply(200, {{"result", Result}});
}

HttpReply KeyValueStandin::revokeLease(const Json &Body) {
  auto Captured = capture([&]() -> Result<void> {
    BOOST_LEAF_AUTO(Id, readInteger(Body, "ID"));
    return State_.revokeLease(Id);
  });
  if (!Captured)
    return gatewayError(Captured.error());
  Server_.stopSignal().wakeWaiters();
  return jsonReply(200, {{"header", responseHeader(State_.revision())}});
}

HttpReply KeyValueStandin::openWatch(StandinCall &Call) {
  auto Request = capture([&] { return readWatch(Call.Body_); });
  if (!Request)
    return gatewayError(Request.error());
  HttpReply Reply;
  Reply.StreamBody_ = [this, Request = *Request,
                       Client = Call.Connection_](ChunkSink &Sink) {
    streamEvents(Request, Client, Sink);
  };
  return Reply;
}

/// Sends events until the client closes the connection. The fault "outage"
/// cuts the stream; "hang" keeps it open without sending anything.
void KeyValueStandin::streamEvents(const WatchRequest &Request,
                                   Connection Client, ChunkSink &Sink) {
  std::int64_t CurrentRevision = State_.revision();
  std::int64_t NextRevision =
      Request.StartRevision_ > 0 ? Request.StartRevision_ : CurrentRevision + 1;
  writeResult(Sink,
              {{"header", responseHeader(CurrentRevision)}, {"created", true}});
  if (NextRevision < State_.firstRetainedRevision()) {
    writeResult(Sink, {{"header", responseHeader(CurrentRevision)},
                       {"canceled", true},
                       {"compact_revision",
                        std::to_string(State_.firstRetainedRevision())}});
    return;
  }
  while (true) {
    bool Ready = Server_.stopSignal().waitFor([&] {
      return Outage_ || Client.closedByClient() ||
             (!Hang_ && State_.revision() >= NextRevision);
    });
    if (!Ready || Outage_ || Client.closedByClient())
      break;
    CurrentRevision = State_.revision();
    for (const RevisionEvents &Changes :
         State_.events(Request.Range_, NextRevision)) {
      Json Events = Json::array();
      for (const KeyEvent &Event : Changes.Events_)
        Events.push_back(toJson(Event));
      writeResult(Sink, {{"header", responseHeader(Changes.Revision_)},
                         {"events", Events}});
      NextRevision = Changes.Revision_ + 1;
    }
    NextRevision = std::max(NextRevision, CurrentRevision + 1);
  }
  Client.cut();
}

} // namespace amaranth::standin
