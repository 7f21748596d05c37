/// \file
/// A fleet with an order service, and all that was placed on it.
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

/// Settings of OrderDesk.
struct OrderFixtureSettings {
  FleetSettings Fleet_;
  int Targets_ = 2;
  bool AllowVolatile_ = false;
  /// True declares the order call repeatable, which turns off at-most-once.
  bool Idempotent_ = false;
};

/// Places orders on a fleet and records every answer, so that the targets'
/// record can be compared with what callers were told. Thread-safe, except for
/// the parts that it returns by reference.
class OrderFixture final {
public:
  explicit OrderFixture(const OrderFixtureSettings &Settings = {});

  Fleet &fleet() { return Fleet_; }
  StandinProcess &keyValue() { return Fleet_.keyValue(); }
  StandinProcess &services() { return Services_; }
  /// Caller address of a daemon.
  std::string host(std::size_t Index);

  /// An order with a ticket of host \p HomeIndex, or with a plain key.
  Order makeTicketedOrder(std::size_t HomeIndex);
  Order makePlainOrder();

  /// An order with a ticket of whichever home host \p Host names; none if it
  /// issues no ticket.
  std::optional<Order> tryMakeTicketedOrder(std::size_t Host);

  /// Kill and restart for tests whose callers run meanwhile: callers keep the
  /// former address until the new daemon listens.
  void killProcess(std::size_t Host) { Fleet_.kill(Host); }
  void restart(std::size_t Host);

  /// Sends the order to host \p Host and records the answer.
  OrderAnswer send(std::size_t Host, const Order &Placed);
  std::future<OrderAnswer> sendAsync(std::size_t Host, const Order &Placed);

  /// Resends until the answer is final; the last answer after 30 s.
  OrderAnswer resend(std::size_t Host, const Order &Placed);

  /// Sets switches of all service instances.
  void setServiceSwitches(const nlohmann::json &Switches);

  /// Executions that all service instances have recorded for the order.
  int executionCount(const Order &Placed);

  /// Calls that the instances hold before their effect.
  int pendingCalls();

  /// Waits until no daemon of \p Hosts has a request in progress and no
  /// service a call, so that nothing can run later.
  bool waitIdle(const std::vector<std::size_t> &Hosts);

  /// Waits until daemon \p Host has \p Count requests in progress.
  bool waitInFlight(std::size_t Host, int Count);

  /// Judges all orders so far.
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
