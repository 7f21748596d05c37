/// \file
/// Places orders while faults are injected on a seeded schedule.
#ifndef AMARANTH_TESTS_INTEGRATION_MIXEDFAULTS_H
#define AMARANTH_TESTS_INTEGRATION_MIXEDFAULTS_H

#include "Integration/OrderFixture.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <random>

namespace amaranth::integration {

/// Settings of MixedFaults.
struct MixedFaultsSettings {
  std::uint64_t Seed_ = 1;
  int Orders_ = 300;
  int Callers_ = 8; ///< Threads that place orders.
  int Faults_ = 12; ///< Faults, one after the other.
  /// Sends every key to all daemons again after the last fault.
  bool ResendAfterFaults_ = true;
};

/// Places orders on three daemons from several threads while another thread
/// kills, freezes and restarts daemons, interrupts the key-value service and
/// makes targets drop, delay or withhold replies. Callers follow docs/api.md:
/// they resend an order with the same key, to another host, until the outcome
/// is final or the attempts are used up. The seed determines the random choices
/// but not the interleaving of the threads.
class MixedFaults final {
public:
  MixedFaults(OrderFixture &Fixture, const MixedFaultsSettings &Settings);

  /// Blocks until all orders have been placed, the last fault has ended, every
  /// order has been resent (if set) and no request is in progress. Returns
  /// false if requests stay in progress.
  bool run();

private:
  void placeOrders(std::uint64_t Seed);
  void placeOrder(std::mt19937_64 &Random);
  void injectFaults();
  void startFault(std::mt19937_64 &Random);
  void endFault();
  void waitDuringFault();
  bool waitIdleAndResend();

  OrderFixture &Fixture_;
  MixedFaultsSettings Settings_;
  /// Orders that a caller has begun to place.
  std::atomic<int> StartedOrders_{0};
  /// Orders whose caller has stopped resending.
  std::atomic<int> FinishedOrders_{0};
  std::mutex Mutex_;
  std::vector<Order> SentOrders_;
  std::size_t FaultyDaemon_ = 0; ///< Daemon of the current fault.
  bool IsFrozen_ = false;
  bool IsKilled_ = false;
};

} // namespace amaranth::integration

#endif
