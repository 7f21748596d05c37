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
                                 RequestRecorder &Recorder, Interruption &Stop)
    : Client_(std::move(Client)), Target_(std::move(Target)), Faults_(Faults),
      Recorder_(Recorder), Stop_(Stop), Frozen_(!Target_.valid()) {}

void ProxyConnection::pumpToTarget() {
  pump({Client_, Target_, Faults_.CutToTarget_, true});
}

void ProxyConnection::pumpToClient() {
  pump({Target_, Client_, Faults_.CutToClient_, false});
}

void ProxyConnection::cut() {
  Cut_ = true;
  Client_.shutdownBoth();
  Target_.shutdownBoth();
  Stop_.notify();
}

void ProxyConnection::pump(Direction Way) {
  std::array<char, BufferBytes> Buffer{};
  while (!Cut_) {
    if (!Frozen_)
      Way.From_.waitReadable();
    if (Frozen_)
      return holdUntilCut();
    std::ptrdiff_t Size = Way.From_.read(Buffer.data(), Buffer.size());
    if (Size < 0)
      return cut();
    if (!delay())
      return cut();
    // An end of the stream is withheld by a frozen connection like bytes are.
    if (Frozen_)
      return holdUntilCut();
    if (Size == 0)
      return Way.To_.shutdownWrite();
    if (!forward(Way, {Buffer.data(), static_cast<std::size_t>(Size)}))
      return cut();
  }
}

/// False if the connection must be cut.
bool ProxyConnection::forward(Direction &Way, std::string_view Data) {
  if (Way.ToTarget_)
    record(Data);
  else
    Replied_ = true;
  if (!Way.ToTarget_ && Faults_.DropReplies_)
    return true;
  std::int64_t CutAfter = Way.CutAfter_;
  if (CutAfter < 0) {
    Way.Forwarded_ += static_cast<std::int64_t>(Data.size());
    return Way.To_.writeAll(Data);
  }
  std::int64_t Allowed = std::max<std::int64_t>(CutAfter - Way.Forwarded_, 0);
  std::string_view Part = Data.substr(0, static_cast<std::size_t>(Allowed));
  Way.Forwarded_ += static_cast<std::int64_t>(Part.size());
  return Way.To_.writeAll(Part) && Way.Forwarded_ < CutAfter;
}

bool ProxyConnection::delay() {
  if (Faults_.DelayMs_ <= 0)
    return true;
  return Stop_.sleepUntil(SteadyClock::now() + Milliseconds{Faults_.DelayMs_});
}

void ProxyConnection::holdUntilCut() {
  Stop_.waitFor([this] { return Cut_.load(); });
}

void ProxyConnection::record(std::string_view Data) {
  if (Replied_.exchange(false))
    Request_.clear();
  if (Request_.size() + Data.size() > MaxRecordedBytes)
    return;
  Request_.append(Data);
  Recorder_.set(Request_);
}

} // namespace amaranth::standin
