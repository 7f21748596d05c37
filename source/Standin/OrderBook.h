/// \file
/// The orders that an engine stand-in received.
#ifndef AMARANTH_STANDIN_ORDERBOOK_H
#define AMARANTH_STANDIN_ORDERBOOK_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace amaranth::standin {

/// Applies orders to change model or role and records all of them, refused
/// ones included. Thread-safe.
class OrderBook final {
public:
  /// With \p ChecksFencing, orders below the highest fencing number seen are
  /// refused.
  OrderBook(bool ChecksFencing, std::string Model, std::string Role);

  /// Applies {"fencing","model","role"}; an absent model or role stays. False
  /// if the fencing number is stale.
  bool apply(const nlohmann::json &Order);

  /// {"model","role","fencing"}.
  nlohmann::json state() const;

  /// Every order in order of arrival, with "accepted" and "time_ms".
  nlohmann::json record() const;

private:
  const bool ChecksFencing_;
  mutable std::mutex Mutex_;
  std::string Model_;
  std::string Role_;
  std::int64_t Fencing_ = 0;
  nlohmann::json Record_ = nlohmann::json::array();
};

} // namespace amaranth::standin

#endif
