/// \file
/// Which engines may continue a stream.
#ifndef AMARANTH_SERVING_STREAMCONTINUATION_H
#define AMARANTH_SERVING_STREAMCONTINUATION_H

#include "Serving/RequestScope.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// The software version that began the stream of a request, in this answer or
/// in an earlier attempt of the caller. Only engines of that version may
/// continue it: what two versions write does not fit together.
class StreamContinuation final {
public:
  explicit StreamContinuation(RequestScope &Scope);
  /// Records the origin of a long stream that broke off again, so that it is
  /// not forgotten before the caller takes it up.
  ~StreamContinuation();
  StreamContinuation(const StreamContinuation &) = delete;
  StreamContinuation &operator=(const StreamContinuation &) = delete;

  /// Finds the version that began the stream that the caller takes up, and the
  /// service of the route that it belongs to. False if the request has ended
  /// with a refusal, because the version is not known or no engine of it
  /// serves.
  transport::Awaitable<bool> findOrigin();
  /// The first event of the answer, from an engine of \p Version, is about to
  /// be passed on.
  void onBegun(const std::string &Version);
  void onCompleted() { IsCompleted_ = true; }

  /// Whether \p Engine may send events of the stream. Before its first event
  /// any engine may.
  bool isAllowed(const state::TargetRecord &Engine) const;
  void removeOthers(std::vector<const state::TargetRecord *> &Engines) const;
  /// The engines of the service that serve and may continue the stream.
  std::vector<const state::TargetRecord *> engines() const;

private:
  void recordOrigin();

  RequestScope &Scope_;
  /// Id of the attempt of the caller that brought the first event.
  std::string StreamId_;
  /// Empty while the version that began the stream is not known.
  std::optional<std::string> Version_;
  bool HasBegun_ = false; ///< In this answer.
  bool IsCompleted_ = false;
};

} // namespace amaranth::serving

#endif
