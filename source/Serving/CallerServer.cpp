#include "Serving/CallerServer.h"

#include "Support/Log.h"
#include "Support/ScopedCount.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace amaranth::serving {

namespace asio = boost::asio;
using asio::ip::tcp;
using transport::Awaitable;
using transport::HttpReader;
using transport::LinkStatus;
using transport::TcpLink;

namespace {

/// Delay after a failed accept, which is usually due to a lack of descriptors.
constexpr Milliseconds AcceptRetryDelay{20};
/// Time limit for the body of a request, counted from the end of its head.
constexpr Milliseconds BodyTimeout{10000};

/// Time limit for writing the refusal of a request that was not read whole.
constexpr Milliseconds RefusalTimeout{1000};
/// Retry-After of a request for whose bytes there is no memory.
constexpr Milliseconds RetryAfterFull{500};

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

bool expectsContinue(const transport::HttpHead &Head) {
  const std::string *Value = Head.find("Expect");
  return Value && transport::equalsIgnoringCase(*Value, "100-continue");
}

} // namespace

CallerServer::CallerServer(EntryContext &Context, StageClient &Stages,
                           HostStatus &Status, CallerServerSettings Settings)
    : Context_(Context), Stages_(Stages), Status_(Status), Settings_(Settings) {
}

std::shared_ptr<CallerServer::Acceptor>
CallerServer::bind(const std::string &Address) {
  auto Endpoint = transport::parseEndpoint(Address);
  if (!Endpoint)
    return nullptr;
  auto Listener = std::make_shared<Acceptor>(Context_.Loop_);
  boost::system::error_code Failure;
  Listener->open(tcp::v4(), Failure);
  Listener->set_option(asio::socket_base::reuse_address(true), Failure);
  Listener->bind(*Endpoint, Failure);
  if (!Failure)
    return Listener;
  LogEvent(LogLevel::Error, "cannot_bind")
      .field("address", Address)
      .field("error", Failure.message());
  return nullptr;
}

bool CallerServer::listen(Acceptor &Listener) {
  boost::system::error_code Failure;
  Listener.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    LogEvent(LogLevel::Error, "cannot_listen")
        .field("error", Failure.message());
  return !Failure;
}

bool CallerServer::start() {
  CallerAcceptor_ = bind(Context_.Settings_.CallerAddress_);
  std::shared_ptr<Acceptor> Directory =
      bind(Context_.Settings_.DirectoryAddress_);
  std::shared_ptr<Acceptor> Readiness =
      bind(Context_.Settings_.ReadinessAddress_);
  if (!CallerAcceptor_ || !Directory || !Readiness || !listen(*Directory) ||
      !listen(*Readiness))
    return false;
  transport::startTask(Context_.Loop_, accept(Directory, Port::Directory));
  transport::startTask(Context_.Loop_, accept(Readiness, Port::Readiness));
  return true;
}

void CallerServer::acceptCallers() {
  if (AcceptsCallers_ || !listen(*CallerAcceptor_))
    return;
  AcceptsCallers_ = true;
  transport::startTask(Context_.Loop_, accept(CallerAcceptor_, Port::Callers));
}

void CallerServer::stopAccepting() {
  boost::system::error_code Ignored;
  CallerAcceptor_->close(Ignored);
}

void CallerServer::closeIdleConnections() {
  for (const Link &Connection : IdleConnections_)
    if (!Connection->closedOrReadable())
      Connection->close();
}

Awaitable<void> CallerServer::accept(std::shared_ptr<Acceptor> Listener,
                                     Port ListeningPort) {
  while (Listener->is_open()) {
    tcp::socket Accepted(Context_.Loop_);
    boost::system::error_code Failure;
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    co_await Listener->async_accept(Accepted, Token);
    if (Failure) {
      co_await transport::pause(Context_.Loop_, AcceptRetryDelay);
      continue;
    }
    if (OpenConnections_ >= Settings_.MaxConnections_) {
      LogEvent(LogLevel::Warn, "too_many_connections")
          .field("connections", OpenConnections_);
      continue;
    }
    auto Caller = std::make_shared<TcpLink>(std::move(Accepted));
    transport::startConnectionTask(Context_.Loop_,
                                   serve(Caller, ListeningPort));
  }
}

state::CallerLimits CallerServer::callerLimits() const {
  return Context_.Table_ ? Context_.Table_->Limits_ : state::CallerLimits{};
}

Awaitable<void> CallerServer::serve(Link Caller, Port ListeningPort) {
  ScopedCount Open(OpenConnections_);
  bool KeepOpen = true;
  while (KeepOpen && Caller->isOpen()) {
    state::CallerLimits Limits = callerLimits();
    HttpReader Reader(HttpReader::Kind::Request, Limits.MaxHeaderBytes_,
                      Limits.MaxBodyBytes_);
    transport::ByteReservation Held(Context_.MessageBytes_);
    SteadyTime Arrival{};
    bool HasRequest = co_await readRequest(Caller, Reader, Held, Arrival);
    if (!HasRequest)
      break;
    if (ListeningPort != Port::Callers) {
      KeepOpen = co_await answerHostCall(Caller, ListeningPort, Reader);
      continue;
    }
    transport::HttpHead Head = Reader.head();
    std::string Body = Reader.takeBody();
    bool KeepAlive = Reader.keepAlive();
    KeepOpen = co_await serveRequest(Context_, Stages_, Caller, std::move(Head),
                                     std::move(Body), Arrival, KeepAlive);
  }
  Caller->close();
}

Awaitable<bool> CallerServer::readRequest(Link Caller, HttpReader &Reader,
                                          transport::ByteReservation &Held,
                                          SteadyTime &Arrival) {
  state::CallerLimits Limits = callerLimits();
  std::string &Input = Caller->input();
  if (Input.empty()) {
    Caller->setDeadline(SteadyClock::now() + Limits.IdleTimeout_);
    IdleConnections_.insert(Caller);
    LinkStatus Status = co_await Caller->readSome();
    IdleConnections_.erase(Caller);
    if (Status != LinkStatus::Ok)
      co_return false;
  }
  ScopedCount Reading(RequestsBeingRead_);
  Arrival = SteadyClock::now();
  Caller->setDeadline(Arrival + Limits.HeaderTimeout_,
                      TcpLink::AtDeadline::Interrupt);
  bool ReadingBody = false;
  for (;;) {
    Reader.feed(Input);
    if (!Held.resize(Input.size() + Reader.bodyBytes())) {
      std::string Full = "this host holds too many messages";
      co_await refuseUnread(Caller, 503, Full, RetryAfterFull);
      co_return false;
    }
    if (Reader.state() == HttpReader::State::Complete)
      break;
    if (Reader.state() == HttpReader::State::Body && !ReadingBody) {
      ReadingBody = true;
      Caller->setDeadline(SteadyClock::now() + BodyTimeout,
                          TcpLink::AtDeadline::Interrupt);
      if (expectsContinue(Reader.head())) {
        std::string Continue(ContinueAnswer);
        co_await Caller->write(Continue);
      }
    }
    int Status = 0;
    std::string Reason;
    if (Reader.state() == HttpReader::State::HeadTooLarge) {
      Status = 431;
      Reason = "the request head is larger than allowed";
    } else if (Reader.state() == HttpReader::State::BodyTooLarge) {
      Status = 413;
      Reason = "the request body is larger than allowed";
    } else if (Reader.state() == HttpReader::State::Malformed) {
      Status = 400;
      Reason = "the request is not well-formed HTTP/1.1";
    }
    if (Status != 0) {
      co_await refuseUnread(Caller, Status, Reason);
      co_return false;
    }
    LinkStatus Received = co_await Caller->readSome();
    if (Received == LinkStatus::TimedOut) {
      Caller->clearDeadline();
      Reason = "the request was not received in time";
      co_await refuseUnread(Caller, 408, Reason);
    }
    if (Received != LinkStatus::Ok)
      co_return false;
  }
  Caller->clearDeadline();
  co_return true;
}

Awaitable<void>
CallerServer::refuseUnread(Link Caller, int Status, std::string Reason,
                           std::optional<Milliseconds> RetryAfter) {
  LogEvent(LogLevel::Warn, "request_unreadable")
      .field("status", Status)
      .field("reason", Reason)
      .field("caller", Caller->peerAddress());
  std::string NoRequestId;
  std::string Answer =
      Context_.Edge_.hostAnswer(Status, NoRequestId, Reason, RetryAfter, true);
  Caller->setDeadline(SteadyClock::now() + RefusalTimeout);
  co_await Caller->write(Answer);
}

Awaitable<bool> CallerServer::answerHostCall(Link Caller, Port ListeningPort,
                                             const HttpReader &Reader) {
  const transport::HttpHead &Head = Reader.head();
  std::string NoRequestId;
  std::string Answer;
  protocol::HostCall Call = Context_.Edge_.hostCall(Head);
  // Callers reach the directory, but need no metrics.
  if (Call == protocol::HostCall::Metrics && ListeningPort != Port::Readiness)
    Call = protocol::HostCall::None;
  switch (Call) {
  case protocol::HostCall::Directory: {
    protocol::DirectoryQuery Query = Context_.Edge_.directoryQuery(Head);
    Answer = Context_.Edge_.directoryAnswer(
        Status_.callerAddresses(Query),
        Context_.Settings_.MaxDirectoryCacheTime_);
    break;
  }
  case protocol::HostCall::Readiness: {
    int Status = Status_.ready() ? 200 : 503;
    std::string Reason = Status == 200 ? "ready" : "not ready";
    Answer = Context_.Edge_.hostAnswer(Status, NoRequestId, Reason,
                                       std::nullopt, false);
    break;
  }
  case protocol::HostCall::Metrics: {
    std::string Text = Status_.metricsText();
    Answer =
        Context_.Edge_.hostAnswer(200, NoRequestId, Text, std::nullopt, false);
    break;
  }
  case protocol::HostCall::None: {
    std::string Reason = "unknown call";
    Answer = Context_.Edge_.hostAnswer(404, NoRequestId, Reason, std::nullopt,
                                       false);
    break;
  }
  }
  LinkStatus Written = co_await Caller->write(Answer);
  co_return Written == LinkStatus::Ok &&Reader.keepAlive();
}

} // namespace amaranth::serving
