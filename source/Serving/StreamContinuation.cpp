#include "Serving/StreamContinuation.h"

#include <algorithm>

namespace amaranth::serving {

using state::TargetRecord;
using transport::Awaitable;

namespace {

/// The version of a stream that a caller takes up is searched for at most this
/// long.
constexpr Milliseconds MaxOriginSearch{500};
/// Retry-After of a take-up that cannot be served. The host that began the
/// stream may know its version, and a target that crashed may return.
constexpr Milliseconds RetryAfterTakeUp{250};
/// A stream of this age is recorded again when it breaks off.
constexpr Milliseconds LongStream{10000};

} // namespace

StreamContinuation::StreamContinuation(RequestScope &Scope)
    : Scope_(Scope),
      StreamId_(Scope.Request_.ResumedId_.empty() ? Scope.Request_.Id_
                                                  : Scope.Request_.ResumedId_) {
}

StreamContinuation::~StreamContinuation() {
  bool HasBrokenOff = HasBegun_ && !IsCompleted_;
  if (HasBrokenOff && SteadyClock::now() - Scope_.Arrival_ > LongStream)
    recordOrigin();
}

Awaitable<bool> StreamContinuation::findOrigin() {
  SteadyTime Until =
      std::min(Scope_.Deadline_, SteadyClock::now() + MaxOriginSearch);
  // Another service of the route than the one chosen may have begun the stream.
  std::vector<std::string> Services{Scope_.Service_};
  for (const state::ServiceShare &Share : Scope_.Route_->Services_)
    if (Share.Service_ != Scope_.Service_)
      Services.push_back(Share.Service_);
  StreamOrigins &Origins = Scope_.Context_.Origins_;
  auto Began = std::find_if(
      Services.begin(), Services.end(), [&](const std::string &Service) {
        return Origins.findOwnVersion(Service, StreamId_).has_value();
      });
  if (Began != Services.end())
    Services = {*Began};
  for (const std::string &Candidate : Services) {
    std::string Service = Candidate;
    std::string StreamId = StreamId_;
    Version_ = co_await Origins.findVersion(Service, StreamId, Until);
    if (Version_) {
      Scope_.Service_ = Service;
      break;
    }
  }
  if (Scope_.hasCallerLeft())
    co_return false;
  std::string Reason;
  if (!Version_)
    Reason = "the version that began the stream is not known";
  else if (engines().empty())
    Reason = "no target of the version that began the stream serves";
  if (Reason.empty())
    co_return true;
  co_await sendOwnAnswer(Scope_, 503, Reason, RetryAfterTakeUp);
  co_return false;
}

void StreamContinuation::onBegun(const std::string &Version) {
  Version_ = Version;
  HasBegun_ = true;
  recordOrigin();
}

bool StreamContinuation::isAllowed(const TargetRecord &Engine) const {
  return !Version_ || Engine.Version_ == *Version_;
}

void StreamContinuation::removeOthers(
    std::vector<const TargetRecord *> &Engines) const {
  std::erase_if(Engines, [this](const TargetRecord *Engine) {
    return !isAllowed(*Engine);
  });
}

std::vector<const TargetRecord *> StreamContinuation::engines() const {
  std::vector<const TargetRecord *> Engines =
      Scope_.Context_.Targets_.serving(Scope_.Service_);
  removeOthers(Engines);
  return Engines;
}

void StreamContinuation::recordOrigin() {
  if (Scope_.Route_->IsResumable_)
    Scope_.Context_.Origins_.onStreamBegun(Scope_.Service_, StreamId_,
                                           *Version_);
}

} // namespace amaranth::serving
