/// \file
/// A fleet with an order service, and all that was placed on it.
#ifndef AMARANTH_TESTS_INTEGRATION_ORDERDESK_H
#define AMARANTH_TESTS_INTEGRATION_ORDERDESK_H

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
struct OrderDeskSettings {
  FleetSettings Fleet_;
  int Targets_ = 2;
  bool AllowVolatile_ = false;
  /// True declares the order call repeatable, which turns off at-most-once.
  bool Idempotent_ = false;
};

/// Places orders on a fleet and records every answer, so that the targets'
/// record can be compared with what callers were told. Thread-safe, except for
/// the parts that it returns by reference.
class OrderDesk final {
public:
  explicit OrderDesk(const OrderDeskSettings &Settings = {});

  Fleet &fleet() { return Fleet_; }
  StandinProcess &keyValue() { return Fleet_.keyValue(); }
  StandinProcess &services() { return Services_; }
  /// Caller address of a daemon.
  std::string host(std::size_t Index);

  /// An order with a ticket of host \p Home, or with a plain key.
  Order ticketed(std::size_t Home);
  Order plain();

  /// An order with a ticket of whichever home host \p Host names; none if it
  /// issues no ticket.
  std::optional<Order> tryTicketed(std::size_t Host);

  /// Kill and restart for tests whose callers run meanwhile: callers keep the
  /// former address until the new daemon listens.
  void killProcess(std::size_t Host) { Fleet_.kill(Host); }
  void restart(std::size_t Host);

  /// Sends the order to host \p Host and records the answer.
  OrderAnswer send(std::size_t Host, const Order &Sent);
  std::future<OrderAnswer> sendLater(std::size_t Host, const Order &Sent);

  /// Resends until the answer is final; the last answer after 30 s.
  OrderAnswer resend(std::size_t Host, const Order &Sent);

  /// Sets switches of all service instances.
  void setServices(const nlohmann::json &Switches);

  /// Executions that all service instances have recorded for the order.
  int executions(const Order &Sent);

  /// Calls that the instances hold before their effect.
  int pendingCalls();

  /// Waits until no daemon of \p Hosts has a request in progress and no
  /// service a call, so that nothing can run later.
  bool waitQuiet(const std::vector<std::size_t> &Hosts);

  /// Waits until daemon \p Host has \p Count requests in progress.
  bool waitInFlight(std::size_t Host, int Count);

  /// Judges all orders so far.
  OrderVerdict verdict();
  std::vector<OrderHistory> histories();

private:
  Order makeOrder(const std::string &KeyStart);
  void record(const Order &Sent, const OrderAnswer &Answer);

  std::size_t Instances_;
  Fleet Fleet_;
  StandinProcess Services_;
  OrderCaller Caller_;
  std::mutex Mutex_;
  int Next_ = 0;
  std::vector<std::string> Hosts_; ///< Caller addresses.
  std::map<std::string, OrderHistory> Histories_;
};

} // namespace amaranth::integration

#endif
