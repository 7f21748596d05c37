#include "Serving/CallerWriter.h"

#include "Support/Log.h"

namespace amaranth::serving {

using transport::Awaitable;
using transport::LinkStatus;

CallerWriter::CallerWriter(std::shared_ptr<transport::TcpLink> Caller,
                           transport::ByteBudget &Budget, DeliveryLimit Limit,
                           CallerWriterSettings Settings)
    : Caller_(std::move(Caller)), Held_(Budget), Limit_(Limit),
      Settings_(Settings), CheckTimer_(Caller_->loop()),
      Progress_(Caller_->loop()) {}

bool CallerWriter::hasRoom(std::size_t Bytes) {
  std::size_t Waiting = waitingBytes();
  if (Waiting == 0)
    return true;
  return Waiting + Bytes <= Settings_.MaxBufferedBytes_ &&
         Held_.resize(Waiting + Bytes);
}

Awaitable<LinkStatus> CallerWriter::write(std::string Bytes) {
  SteadyTime GiveUpBy = Limit_.deliverBy() + Settings_.CheckPeriod_;
  while (Status_ == LinkStatus::Ok && !hasRoom(Bytes.size()))
    co_await Progress_.wait(GiveUpBy);
  if (Status_ != LinkStatus::Ok)
    co_return Status_;
  if (waitingBytes() > 0) {
    Buffer_ += Bytes;
    co_return Status_;
  }
  Buffer_ = std::move(Bytes);
  Written_ = 0;
  writeBuffered();
  co_return Status_;
}

Awaitable<LinkStatus> CallerWriter::finish() {
  SteadyTime GiveUpBy = Limit_.deliverBy() + Settings_.CheckPeriod_;
  while (Status_ == LinkStatus::Ok && waitingBytes() > 0)
    co_await Progress_.wait(GiveUpBy);
  co_return Status_;
}

void CallerWriter::abandon() {
  if (Status_ == LinkStatus::Ok)
    Status_ = LinkStatus::Closed;
  Buffer_.clear();
  Written_ = 0;
  Held_.resize(0);
  CheckTimer_.cancel();
  Progress_.notify();
}

void CallerWriter::writeBuffered() {
  if (Status_ != LinkStatus::Ok)
    return;
  std::string_view Waiting = std::string_view(Buffer_).substr(Written_);
  std::size_t Count = 0;
  LinkStatus Result = Caller_->writeNow(Waiting, Count);
  if (Result != LinkStatus::Ok) {
    fail(Result);
    return;
  }
  Written_ += Count;
  TotalWritten_ += Count;
  if (waitingBytes() == 0) {
    Buffer_.clear();
    Written_ = 0;
  } else if (Written_ > Buffer_.size() / 2) {
    Buffer_.erase(0, Written_);
    Written_ = 0;
  }
  // An answer that is longer than the budget allows, with nothing before it,
  // was held by its exchange until now; it is delivered all the same.
  Held_.resize(waitingBytes());
  if (waitingBytes() > 0) {
    startChecks();
    awaitWritable();
  }
  Progress_.notify();
}

void CallerWriter::awaitWritable() {
  if (AwaitsWritable_)
    return;
  AwaitsWritable_ = true;
  std::weak_ptr<CallerWriter> Weak = weak_from_this();
  Caller_->whenWritable([Weak] {
    std::shared_ptr<CallerWriter> Self = Weak.lock();
    if (!Self)
      return;
    Self->AwaitsWritable_ = false;
    Self->writeBuffered();
  });
}

void CallerWriter::startChecks() {
  if (IsChecking_)
    return;
  IsChecking_ = true;
  Limit_.onWaiting(SteadyClock::now());
  check();
}

void CallerWriter::check() {
  if (Status_ != LinkStatus::Ok || waitingBytes() == 0) {
    IsChecking_ = false;
    return;
  }
  // Bytes in the socket's buffer have not been accepted by the caller.
  std::uint64_t Unacknowledged = Caller_->unacknowledgedBytes();
  SteadyTime Now = SteadyClock::now();
  if (Unacknowledged <= TotalWritten_)
    Limit_.onAccepted(TotalWritten_ - Unacknowledged, Now);
  if (Limit_.isExceeded(Now)) {
    LogEvent(LogLevel::Warn, "caller_given_up")
        .field("caller", Caller_->peerAddress())
        .field("waiting_bytes", waitingBytes())
        .field("reason", Now >= Limit_.deliverBy() ? "late" : "reads nothing");
    Caller_->abort();
    fail(LinkStatus::TimedOut);
    return;
  }
  CheckTimer_.expires_at(
      std::min(Now + Settings_.CheckPeriod_, Limit_.deliverBy()));
  std::weak_ptr<CallerWriter> Weak = weak_from_this();
  CheckTimer_.async_wait([Weak](const boost::system::error_code &) {
    if (std::shared_ptr<CallerWriter> Self = Weak.lock())
      Self->check();
  });
}

void CallerWriter::fail(LinkStatus Status) {
  Status_ = Status;
  abandon();
  std::function<void()> Callback = std::move(OnFailure_);
  OnFailure_ = nullptr;
  if (Callback)
    Callback();
}

} // namespace amaranth::serving
