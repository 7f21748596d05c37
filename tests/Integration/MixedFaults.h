/// \file
/// Orders placed while faults come and go by a seeded schedule.
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
  int Faults_ = 12; ///< Fault periods.
  /// Sends every key again to all daemons once the faults are over.
  bool ResendAfterFaults_ = true;
};

/// Places orders on three daemons from several threads while another thread
/// kills, freezes and restarts daemons, stops the key-value service and makes
/// targets lose their replies. Each caller behaves as docs/api.md says: it
/// resends an order with the same key, to another host, until the outcome is
/// final. The seed fixes the choices, not the interleaving of the threads.
class MixedFaults final {
public:
  MixedFaults(OrderFixture &Fixture, const MixedFaultsSettings &Settings);

  /// Blocks until all orders were placed, the faults are over, every order was
  /// asked for again (if so set) and nothing is in progress. False if the fleet
  /// does not come to rest.
  bool run();

private:
  void placeOrders(std::uint64_t Seed);
  void placeOrder(std::mt19937_64 &Random);
  void injectFaults();
  void startFault(std::mt19937_64 &Random);
  void endFault();
  void waitDuringFault();
  bool finishOrders();

  OrderFixture &Fixture_;
  MixedFaultsSettings Settings_;
  std::atomic<int> StartedOrders_{0};  ///< Orders taken by a caller.
  std::atomic<int> FinishedOrders_{0}; ///< Orders whose first round ended.
  std::mutex Mutex_;
  std::vector<Order> SentOrders_;
  std::size_t FaultyDaemon_ = 0; ///< Of the present fault.
  bool IsFrozen_ = false;
  bool IsKilled_ = false;
};

} // namespace amaranth::integration

#endif
