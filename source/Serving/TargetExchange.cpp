#include "Serving/TargetExchange.h"

#include "Support/Log.h"

namespace amaranth::serving {

using transport::Awaitable;
using transport::HttpReader;
using transport::LinkStatus;

namespace {

constexpr std::size_t MaxAnswerHead = 32 * 1024;
/// An answer that is read whole before it is passed on.
constexpr std::size_t MaxAnswerBody = 16 * 1024 * 1024;
/// Foreign answers skipped on one connection before it is given up.
constexpr int MaxForeignAnswers = 4;

std::unique_ptr<HttpReader> newReader() {
  return std::make_unique<HttpReader>(HttpReader::Kind::Response, MaxAnswerHead,
                                      MaxAnswerBody);
}

} // namespace

TargetExchange::TargetExchange(TargetConnections &Connections,
                               const protocol::EdgeProtocol &Edge,
                               state::TargetRecord Target)
    : Connections_(Connections), Edge_(Edge), Target_(std::move(Target)) {}

TargetExchange::~TargetExchange() {
  if (Link_)
    Link_->close();
}

Awaitable<ExchangeState> TargetExchange::start(std::string Request,
                                               std::string RequestId,
                                               SteadyTime Deadline) {
  RequestId_ = std::move(RequestId);
  Link_ = co_await Connections_.take(Target_, Deadline);
  if (!Link_)
    co_return State_;
  if (Stopped_) {
    Link_->close();
    co_return State_;
  }
  State_ = ExchangeState::Broken;
  Reader_ = newReader();
  LinkStatus Status = co_await Link_->write(Request);
  // A target may answer and close before it has read all of a request.
  if (Status == LinkStatus::TimedOut || Status == LinkStatus::Closed)
    co_return fail(Status);
  ExchangeState After = co_await readHead();
  co_return After;
}

Awaitable<ExchangeState> TargetExchange::readHead() {
  for (int Foreign = 0; Foreign < MaxForeignAnswers;) {
    Reader_->feed(Link_->input());
    if (Reader_->state() > HttpReader::State::Complete)
      co_return fail(LinkStatus::Reset);
    if (!Reader_->hasHead()) {
      LinkStatus Status = co_await Link_->readSome();
      if (Status != LinkStatus::Ok)
        co_return fail(Status);
      continue;
    }
    Reply_ = Edge_.readReply(Reader_->head());
    bool Ours = RequestId_.empty() || Reply_.RequestId_ == RequestId_ ||
                (Reply_.RequestId_.empty() && Reply_.NotExecuted_);
    if (Ours) {
      State_ = ExchangeState::Answering;
      if (Reader_->state() == HttpReader::State::Complete)
        finish();
      co_return State_;
    }
    LogEvent(LogLevel::Warn, "foreign_answer_skipped")
        .field("request", RequestId_)
        .field("answered", Reply_.RequestId_)
        .field("target", Target_.Id_);
    Skipped_ = true;
    ++Foreign;
    while (Reader_->state() == HttpReader::State::Body) {
      LinkStatus Status = co_await Link_->readSome();
      if (Status != LinkStatus::Ok)
        co_return fail(Status);
      Reader_->feed(Link_->input());
    }
    Reader_ = newReader();
  }
  co_return fail(LinkStatus::Reset);
}

Awaitable<ExchangeState> TargetExchange::readMore() {
  LinkStatus Status = co_await Link_->readSome();
  Reader_->feed(Link_->input());
  Body_ += Reader_->takeBody();
  if (Reader_->state() > HttpReader::State::Complete)
    co_return fail(LinkStatus::Reset);
  if (Reader_->state() == HttpReader::State::Complete) {
    finish();
    co_return State_;
  }
  if (Status == LinkStatus::Ok)
    co_return State_;
  if (Status == LinkStatus::End &&
      Reader_->end() == HttpReader::State::Complete) {
    finish();
    co_return State_;
  }
  co_return fail(Status);
}

Awaitable<ExchangeState> TargetExchange::readAll() {
  while (State_ == ExchangeState::Answering)
    co_await readMore();
  co_return State_;
}

std::string TargetExchange::takeBody() {
  if (Reader_)
    Body_ += Reader_->takeBody();
  std::string Out = std::move(Body_);
  Body_.clear();
  return Out;
}

void TargetExchange::finish() {
  Body_ += Reader_->takeBody();
  State_ = Reply_.NotExecuted_ ? ExchangeState::NotExecuted
                               : ExchangeState::Complete;
  bool Reusable = Reader_->keepAlive() && Reader_->framed() && !Skipped_ &&
                  Link_->input().empty() && Link_->isOpen();
  if (Reusable)
    Connections_.giveBack(Target_.Id_, std::move(Link_), Reply_.KeepAlive_);
  else
    Link_->close();
  Link_ = nullptr;
}

ExchangeState TargetExchange::fail(LinkStatus Status) {
  State_ = Status == LinkStatus::TimedOut ? ExchangeState::TimedOut
                                          : ExchangeState::Broken;
  if (Link_)
    Link_->close();
  return State_;
}

void TargetExchange::stop() {
  Stopped_ = true;
  if (Link_)
    Link_->close();
}

} // namespace amaranth::serving
