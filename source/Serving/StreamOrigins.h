/// \file
/// Versions of the target software that began the streams of callers.
#ifndef AMARANTH_SERVING_STREAMORIGINS_H
#define AMARANTH_SERVING_STREAMORIGINS_H

#include "State/TargetRecord.h"
#include "Support/Time.h"
#include "Transport/Loop.h"

#include <optional>
#include <string>

namespace amaranth::serving {

/// Knows which version of a target's software began a stream. What two versions
/// write does not fit together, so only that version may continue the stream.
class StreamOrigins {
public:
  virtual ~StreamOrigins() = default;

  /// The version that began the stream whose first event a caller got in its
  /// attempt \p RequestId at this host; nothing if it began elsewhere.
  virtual std::optional<std::string>
  findOwnVersion(const std::string &Service,
                 const std::string &RequestId) const = 0;
  /// The same for a stream that may have begun at any host; nothing if the
  /// version is not known, or not by \p Deadline.
  virtual transport::Awaitable<std::optional<std::string>>
  findVersion(std::string Service, std::string RequestId,
              SteadyTime Deadline) = 0;
  /// The first event of the caller's attempt \p RequestId comes from
  /// \p Version.
  virtual void onStreamBegun(const std::string &Service,
                             const std::string &RequestId,
                             const std::string &Version) = 0;
  /// Whether \p Target may get new streams: not before the hosts can know that
  /// its version is in service.
  virtual bool mayBegin(const state::TargetRecord &Target,
                        SteadyTime Now) const = 0;
};

} // namespace amaranth::serving

#endif
