/// \file
/// The administrative orders that an engine stand-in has received.
#ifndef AMARANTH_STANDIN_ORDERLOG_H
#define AMARANTH_STANDIN_ORDERLOG_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace amaranth::standin {

/// Applies orders that change the model or the role, and records all orders,
/// including refused ones. Thread-safe.
class OrderLog final {
public:
  /// With \p ChecksFencing, an order is refused if its fencing number is lower
  /// than that of the last accepted order.
  OrderLog(bool ChecksFencing, std::string Model, std::string Role);

  /// Applies {"fencing","model","role"}; an absent model or role is left
  /// unchanged. False if the fencing number is stale.
  bool apply(const nlohmann::json &Order);

  /// {"model","role","fencing"}.
  nlohmann::json state() const;

  /// All orders by time of arrival, with "accepted" and "time_ms".
  nlohmann::json allOrders() const;

private:
  const bool ChecksFencing_;
  mutable std::mutex Mutex_;
  std::string Model_;
  std::string Role_;
  std::int64_t FencingNumber_ = 0;
  nlohmann::json ReceivedOrders_ = nlohmann::json::array();
};

} // namespace amaranth::standin

#endif
