#include "Serving/TargetExchange.h"

#include "Support/Log.h"

namespace amaranth::serving {

using transport::Awaitable;
using transport::HttpReader;
using transport::LinkStatus;

namespace {

constexpr std::size_t MaxAnswerHead = 32 * 1024;
/// A connection is closed after this many foreign answers.
constexpr int MaxForeignAnswers = 4;
constexpr int MinFinalStatus = 200;

std::unique_ptr<HttpReader> newReader(std::size_t MaxBody) {
  return std::make_unique<HttpReader>(HttpReader::Kind::Response, MaxAnswerHead,
                                      MaxBody);
}

} // namespace

TargetExchange::TargetExchange(TargetConnections &Connections,
                               const protocol::EdgeProtocol &Edge,
                               transport::ByteBudget &Budget,
                               state::TargetRecord Target,
                               TargetExchangeSettings Settings)
    : Connections_(Connections), Edge_(Edge), Target_(std::move(Target)),
      Held_(Budget), Settings_(Settings) {}

TargetExchange::~TargetExchange() {
  if (Link_)
    Link_->abort();
}

Awaitable<ExchangeState> TargetExchange::start(std::string Request,
                                               std::string RequestId,
                                               SteadyTime Deadline) {
  RequestId_ = std::move(RequestId);
  SteadyTime StartedAt = SteadyClock::now();
  Link_ = co_await Connections_.acquire(Target_, Deadline);
  if (!Link_)
    co_return State_;
  if (Stopped_) {
    Link_->close();
    co_return State_;
  }
  if (Settings_.MaySend_ && !Settings_.MaySend_()) {
    Link_->close();
    State_ = ExchangeState::Withheld;
    co_return State_;
  }
  State_ = ExchangeState::Broken;
  Reader_ = newReader(Settings_.MaxBody_);
  LinkStatus Status = co_await Link_->write(Request);
  // After a reset or an end there may still be an answer: a target may answer
  // and close before it has read the whole request.
  if (Status == LinkStatus::TimedOut || Status == LinkStatus::Closed)
    co_return fail(Status);
  logSent(
      std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - StartedAt),
      Deadline);
  ExchangeState Result = co_await readHead();
  co_return Result;
}

void TargetExchange::logSent(Milliseconds ConnectTime,
                             SteadyTime Deadline) const {
  if (RequestId_.empty())
    return;
  LogEvent(LogLevel::Info, "request_sent")
      .field("request", RequestId_)
      .field("target", Target_.Id_)
      .field("connect_and_write_ms", ConnectTime.count())
      .field("left_ms", remaining(Deadline).count());
}

Awaitable<ExchangeState> TargetExchange::readHead() {
  for (int ForeignAnswers = 0; ForeignAnswers < MaxForeignAnswers;) {
    if (!parseInput())
      co_return reject();
    if (!Reader_->hasHead()) {
      LinkStatus Status = co_await Link_->readSome();
      if (Status != LinkStatus::Ok)
        co_return fail(Status);
      continue;
    }
    Reply_ = Edge_.readReply(Reader_->head());
    if (isOwnAnswer()) {
      State_ = ExchangeState::Answering;
      if (Reader_->state() == HttpReader::State::Complete)
        finish();
      co_return State_;
    }
    LogEvent(LogLevel::Warn, "foreign_answer_skipped")
        .field("request", RequestId_)
        .field("answered", Reply_.RequestId_)
        .field("target", Target_.Id_);
    SkippedForeign_ = true;
    ++ForeignAnswers;
    LinkStatus Skipped = co_await skipBody();
    if (Skipped != LinkStatus::Ok)
      co_return fail(Skipped);
    if (Reader_->state() != HttpReader::State::Complete)
      co_return reject();
    Reader_ = newReader(Settings_.MaxBody_);
  }
  co_return reject();
}

bool TargetExchange::isOwnAnswer() const {
  // Interim answers precede the final one.
  if (Reader_->head().Status_ < MinFinalStatus)
    return false;
  // Targets echo the id in each answer, refusals included. One without it may
  // be a remainder of an earlier exchange and says nothing about this request.
  return RequestId_.empty() || Reply_.RequestId_ == RequestId_ ||
         (Settings_.MayLackId_ && Reply_.RequestId_.empty());
}

Awaitable<LinkStatus> TargetExchange::skipBody() {
  LinkStatus Status = LinkStatus::Ok;
  std::size_t SkippedBytes = 0;
  while (Status == LinkStatus::Ok &&
         Reader_->state() == HttpReader::State::Body &&
         SkippedBytes <= Settings_.MaxBody_) {
    SkippedBytes += Reader_->takeBody().size();
    Status = co_await Link_->readSome();
    Reader_->feed(Link_->input());
  }
  co_return Status;
}

bool TargetExchange::parseInput() {
  Reader_->feed(Link_->input());
  if (Reader_->state() > HttpReader::State::Complete)
    return false;
  return Held_.resize(Link_->input().size() + Body_.size() +
                      Reader_->bodyBytes());
}

Awaitable<ExchangeState> TargetExchange::readMore() {
  LinkStatus Status = co_await Link_->readSome();
  if (!parseInput())
    co_return reject();
  if (Reader_->state() == HttpReader::State::Complete) {
    finish();
    co_return State_;
  }
  if (Status == LinkStatus::Ok)
    co_return State_;
  if (Status == LinkStatus::End &&
      Reader_->onEndOfStream() == HttpReader::State::Complete) {
    finish();
    co_return State_;
  }
  co_return fail(Status);
}

Awaitable<ExchangeState> TargetExchange::readAll() {
  if (State_ == ExchangeState::Answering &&
      Reader_->statedLength().value_or(0) > Settings_.MaxBody_)
    co_return reject();
  while (State_ == ExchangeState::Answering)
    co_await readMore();
  co_return State_;
}

void TargetExchange::setDeadline(SteadyTime Deadline) {
  if (Link_ && Link_->isOpen())
    Link_->setDeadline(Deadline, transport::TcpLink::AtDeadline::Abort);
}

bool TargetExchange::hasTargetsAnswer() const {
  bool HasHead = State_ == ExchangeState::Answering ||
                 State_ == ExchangeState::Complete ||
                 State_ == ExchangeState::NotExecuted;
  return HasHead && !Reply_.WrongTarget_;
}

std::string TargetExchange::takeBody() {
  if (Reader_)
    Body_ += Reader_->takeBody();
  std::string Body = std::move(Body_);
  Body_.clear();
  if (State_ == ExchangeState::Answering)
    Held_.resize(Link_->input().size());
  return Body;
}

void TargetExchange::finish() {
  Body_ += Reader_->takeBody();
  State_ = Reply_.NotExecuted_ ? ExchangeState::NotExecuted
                               : ExchangeState::Complete;
  // A second copy of a refusal would be taken for the answer to the next
  // request, which may run meanwhile.
  IsReusable_ = Reader_->keepAlive() && Reader_->hasDelimitedBody() &&
                !Reply_.NotExecuted_ && !SkippedForeign_ &&
                Link_->input().empty() && Link_->isOpen();
  if (!IsReusable_) {
    Link_->close();
    Link_ = nullptr;
  } else if (!Settings_.HoldsConnection_) {
    releaseConnection();
  }
}

void TargetExchange::releaseConnection() {
  if (IsReusable_ && Link_)
    Connections_.release(Target_.Id_, std::move(Link_), Reply_.KeepAlive_);
  Link_ = nullptr;
}

ExchangeState TargetExchange::fail(LinkStatus Status) {
  return end(Status == LinkStatus::TimedOut ? ExchangeState::TimedOut
                                            : ExchangeState::Broken);
}

ExchangeState TargetExchange::reject() {
  LogEvent(LogLevel::Warn, "answer_unusable")
      .field("request", RequestId_)
      .field("target", Target_.Id_);
  return end(ExchangeState::Unusable);
}

ExchangeState TargetExchange::end(ExchangeState Final) {
  State_ = Final;
  if (Link_)
    Link_->abort();
  return State_;
}

void TargetExchange::stop() {
  Stopped_ = true;
  if (Link_)
    Link_->abort();
}

} // namespace amaranth::serving
