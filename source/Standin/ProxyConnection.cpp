#include "Standin/ProxyConnection.h"

#include <array>

namespace amaranth::standin {

namespace {

constexpr std::size_t BufferBytes = 16 * 1024;
constexpr std::size_t MaxRecordedBytes = 1024 * 1024;

} // namespace

void RequestRecorder::set(std::string Bytes) {
  std::lock_guard Lock(Mutex_);
  Bytes_ = std::move(Bytes);
}

std::string RequestRecorder::get() const {
  std::lock_guard Lock(Mutex_);
  return Bytes_;
}

ProxyConnection::ProxyConnection(Socket Client, Socket Target,
                                 const ProxyFaults &Faults,
                                 RequestRecorder &Recorder, StopSignal &Signal)
    : Client_(std::move(Client)), Target_(std::move(Target)), Faults_(Faults),
      Recorder_(Recorder), StopSignal_(Signal), Frozen_(!Target_.valid()) {}

void ProxyConnection::forwardToTarget() {
  forwardStream({Client_, Target_, Faults_.CutAfterToTarget_, true});
}

void ProxyConnection::forwardToClient() {
  forwardStream({Target_, Client_, Faults_.CutAfterToClient_, false});
}

void ProxyConnection::cut() {
  Cut_ = true;
  Client_.shutdownBoth();
  Target_.shutdownBoth();
  StopSignal_.wakeWaiters();
}

void ProxyConnection::forwardStream(ByteStream Stream) {
  std::array<char, BufferBytes> Buffer{};
  while (!Cut_) {
    if (!Frozen_)
      Stream.Source_.waitReadable();
    if (Frozen_)
      return waitUntilCut();
    std::ptrdiff_t Size = Stream.Source_.read(Buffer.data(), Buffer.size());
    if (Size < 0)
      return cut();
    if (!applyDelay())
      return cut();
    // A frozen connection withholds the end of the stream as it withholds
    // bytes.
    if (Frozen_)
      return waitUntilCut();
    if (Size == 0)
      return Stream.Destination_.shutdownWrite();
    if (!forward(Stream, {Buffer.data(), static_cast<std::size_t>(Size)}))
      return cut();
  }
}

/// Forwards \p Data as far as the faults allow; false if the connection must
/// be cut.
bool ProxyConnection::forward(ByteStream &Stream, std::string_view Data) {
  if (Stream.ToTarget_)
    recordRequest(Data);
  else
    ReplyReceived_ = true;
  if (!Stream.ToTarget_ && Faults_.DropReplies_)
    return true;
  std::int64_t CutAfter = Stream.CutAfter_;
  if (CutAfter < 0) {
    Stream.Forwarded_ += static_cast<std::int64_t>(Data.size());
    return Stream.Destination_.writeAll(Data);
  }
  std::int64_t Allowed =
      std::max<std::int64_t>(CutAfter - Stream.Forwarded_, 0);
  std::string_view AllowedData =
      Data.substr(0, static_cast<std::size_t>(Allowed));
  Stream.Forwarded_ += static_cast<std::int64_t>(AllowedData.size());
  return Stream.Destination_.writeAll(AllowedData) &&
         Stream.Forwarded_ < CutAfter;
}

bool ProxyConnection::applyDelay() {
  if (Faults_.DelayMs_ <= 0)
    return true;
  return StopSignal_.sleepUntil(SteadyClock::now() +
                                Milliseconds{Faults_.DelayMs_});
}

void ProxyConnection::waitUntilCut() {
  StopSignal_.waitFor([this] { return Cut_.load(); });
}

void ProxyConnection::recordRequest(std::string_view Data) {
  if (ReplyReceived_.exchange(false))
    CurrentRequest_.clear();
  if (CurrentRequest_.size() + Data.size() > MaxRecordedBytes)
    return;
  CurrentRequest_.append(Data);
  Recorder_.set(CurrentRequest_);
}

} // namespace amaranth::standin
