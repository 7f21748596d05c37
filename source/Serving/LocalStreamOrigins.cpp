#include "Serving/LocalStreamOrigins.h"

namespace amaranth::serving {

using transport::Awaitable;

Awaitable<std::optional<std::string>>
LocalStreamOrigins::findVersion(std::string Service, std::string RequestId,
                                SteadyTime /*Deadline*/) {
  co_return Table_.findVersion(Service, RequestId, SteadyClock::now());
}

void LocalStreamOrigins::onStreamBegun(const std::string &Service,
                                       const std::string &RequestId,
                                       const std::string &Version) {
  Table_.onStreamBegun(Service, RequestId, Version, SteadyClock::now());
}

} // namespace amaranth::serving
