/// \file
/// The platform's list of live and leaving hosts, which becomes visible with a
/// delay.
#ifndef AMARANTH_STANDIN_HOSTLIST_H
#define AMARANTH_STANDIN_HOSTLIST_H

#include "Support/Time.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>

namespace amaranth::standin {

/// Serves each new list only after the configured lag. Thread-safe.
class HostList final {
public:
  explicit HostList(Milliseconds Lag);

  /// Replaces the list by {"hosts":[{"address","state"}]}. Throws the JSON
  /// library's exception if \p Body has another structure; returns false if a
  /// state is neither "live" nor "leaving".
  bool setHosts(const nlohmann::json &Body);

  /// The body of GET /v1/hosts.
  nlohmann::json visibleHosts();

private:
  struct PendingList {
    SteadyTime VisibleFrom_;
    nlohmann::json Hosts_;
  };

  Milliseconds Lag_;
  std::mutex Mutex_;
  nlohmann::json VisibleHosts_ = nlohmann::json::array();
  std::deque<PendingList> Pending_;
};

} // namespace amaranth::standin

#endif
