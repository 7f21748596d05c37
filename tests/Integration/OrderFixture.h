/// \file
/// A fleet with an order service, and a record of all orders placed on it.
#ifndef AMARANTH_TESTS_INTEGRATION_ORDERFIXTURE_H
#define AMARANTH_TESTS_INTEGRATION_ORDERFIXTURE_H

#include "Integration/ExecutionCheck.h"
#include "Integration/Fleet.h"
#include "Integration/OrderCaller.h"

#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::integration {

/// Settings of OrderFixture.
struct OrderFixtureSettings {
  FleetSettings Fleet_;
  int Targets_ = 2;
  bool AllowVolatile_ = false;
  /// Declares the call idempotent, which turns off at-most-once execution.
  bool Idempotent_ = false;
};

/// Places orders on a fleet and records every answer, so that the answers can
/// be compared with the executions that the targets recorded. Thread-safe
/// except for the objects that it returns by reference.
class OrderFixture final {
public:
  explicit OrderFixture(const OrderFixtureSettings &Settings = {});

  Fleet &fleet() { return Fleet_; }
  StandinProcess &keyValue() { return Fleet_.keyValue(); }
  StandinProcess &services() { return Services_; }
  /// Caller address of a daemon.
  std::string host(std::size_t Index);

  /// Makes an order whose key contains a ticket with host \p HomeIndex as home.
  Order makeTicketedOrder(std::size_t HomeIndex);
  /// Makes an order with a key of the caller's own choice.
  Order makePlainOrder();

  /// Makes an order with a ticket that host \p Host issues, whatever its home;
  /// std::nullopt if the host issues none.
  std::optional<Order> tryMakeTicketedOrder(std::size_t Host);

  /// Kill and restart a daemon while callers run. host() returns the old
  /// address until the new daemon is ready.
  void killProcess(std::size_t Host) { Fleet_.kill(Host); }
  void restart(std::size_t Host);

  /// Sends the order to host \p Host and records the answer.
  OrderAnswer send(std::size_t Host, const Order &Placed);
  std::future<OrderAnswer> sendAsync(std::size_t Host, const Order &Placed);

  /// Resends until the answer is final, for at most 30 s; returns the last one.
  OrderAnswer resend(std::size_t Host, const Order &Placed);

  /// Sets fault switches of all service instances.
  void setServiceSwitches(const nlohmann::json &Switches);

  /// Number of executions of the order, over all service instances.
  int executionCount(const Order &Placed);

  /// Calls that the service instances have accepted but not yet executed.
  int pendingCalls();

  /// Waits until no daemon of \p Hosts has a request in progress and no service
  /// instance has a call in progress, so that no order can run afterwards.
  bool waitIdle(const std::vector<std::size_t> &Hosts);

  /// Waits until daemon \p Host has \p Count requests in progress.
  bool waitInFlight(std::size_t Host, int Count);

  /// Compares the answers of all orders with their executions.
  OrderCheckResult checkOrders();
  std::vector<OrderHistory> histories();

private:
  Order makeOrder(const std::string &KeyPrefix);
  void record(const Order &Placed, const OrderAnswer &Answer);

  std::size_t Instances_;
  Fleet Fleet_;
  StandinProcess Services_;
  OrderCaller Caller_;
  std::mutex Mutex_;
  int LastOrderNumber_ = 0;
  std::vector<std::string> Hosts_; ///< Caller addresses.
  std::map<std::string, OrderHistory> Histories_;
};

} // namespace amaranth::integration

#endif
