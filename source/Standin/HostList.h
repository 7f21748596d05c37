/// \file
/// The platform's list of live and leaving hosts, which lags.
#ifndef AMARANTH_STANDIN_HOSTLIST_H
#define AMARANTH_STANDIN_HOSTLIST_H

#include "Support/Time.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>

namespace amaranth::standin {

/// Serves each list only once the configured lag has passed since it was set.
/// Thread-safe.
class HostList final {
public:
  explicit HostList(Milliseconds Lag);

  /// Sets the list, {"hosts":[{"address","state"}]}; throws the JSON library's
  /// exception on a body of another shape and returns false on a bad state.
  bool set(const nlohmann::json &Body);

  /// The body of GET /v1/hosts.
  nlohmann::json visible();

private:
  struct Version {
    SteadyTime VisibleFrom_;
    nlohmann::json Hosts_;
  };

  Milliseconds Lag_;
  std::mutex Mutex_;
  nlohmann::json Current_ = nlohmann::json::array();
  std::deque<Version> Pending_;
};

} // namespace amaranth::standin

#endif
