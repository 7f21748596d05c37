#include "Integration/MixedFaults.h"

#include "Integration/Eventually.h"

#include <thread>

namespace amaranth::integration {

namespace {

/// Attempts of a caller to get a ticket, and to get a final answer.
constexpr int MaxAttempts = 4;
/// Upper bound of the duration of a fault, for when too few orders finish.
constexpr Seconds MaxFaultDuration{4};
/// Number of finished orders after which a fault ends.
constexpr int OrdersPerFault = 15;

std::size_t randomIndex(std::mt19937_64 &Random, std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
}

} // namespace

MixedFaults::MixedFaults(OrderFixture &Fixture,
                         const MixedFaultsSettings &Settings)
    : Fixture_(Fixture), Settings_(Settings) {}

bool MixedFaults::run() {
  std::vector<std::thread> Callers;
  for (int I = 0; I < Settings_.Callers_; ++I)
    Callers.emplace_back([this, I] {
      placeOrders(Settings_.Seed_ * 1000 + static_cast<std::uint64_t>(I));
    });
  injectFaults();
  for (std::thread &Caller : Callers)
    Caller.join();
  return waitIdleAndResend();
}

void MixedFaults::placeOrders(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  while (StartedOrders_++ < Settings_.Orders_) {
    placeOrder(Random);
    ++FinishedOrders_;
  }
}

void MixedFaults::placeOrder(std::mt19937_64 &Random) {
  std::size_t Home = randomIndex(Random, 3);
  bool WantsTicket = randomIndex(Random, 10) < 8;
  std::optional<Order> NewOrder;
  for (int I = 0; WantsTicket && !NewOrder && I < MaxAttempts; ++I)
    NewOrder =
        Fixture_.tryMakeTicketedOrder((Home + static_cast<std::size_t>(I)) % 3);
  if (!NewOrder)
    NewOrder = Fixture_.makePlainOrder();
  NewOrder->Timeout_ = Milliseconds{1500};
  NewOrder->DisconnectAfter_ =
      Milliseconds{randomIndex(Random, 5) == 0 ? 60 : 1800};
  {
    std::lock_guard Lock(Mutex_);
    SentOrders_.push_back(*NewOrder);
  }
  for (int I = 0; I < MaxAttempts; ++I) {
    std::size_t Host = randomIndex(Random, 3);
    if (randomIndex(Random, 4) == 0) {
      auto ParallelAnswer = Fixture_.sendAsync((Host + 1) % 3, *NewOrder);
      bool IsFinal = Fixture_.send(Host, *NewOrder).isFinal();
      if (ParallelAnswer.get().isFinal() || IsFinal)
        return;
      continue;
    }
    if (Fixture_.send(Host, *NewOrder).isFinal())
      return;
  }
}

void MixedFaults::injectFaults() {
  std::mt19937_64 Random(Settings_.Seed_);
  for (int I = 0; I < Settings_.Faults_; ++I) {
    startFault(Random);
    waitDuringFault();
    endFault();
  }
}

/// Waits until OrdersPerFault more orders, or all orders, have finished, but
/// not longer than MaxFaultDuration.
void MixedFaults::waitDuringFault() {
  int FinishedGoal =
      std::min(FinishedOrders_ + OrdersPerFault, Settings_.Orders_);
  eventually([&] { return FinishedOrders_ >= FinishedGoal; }, MaxFaultDuration);
}

void MixedFaults::startFault(std::mt19937_64 &Random) {
  FaultyDaemon_ = randomIndex(Random, 3);
  switch (randomIndex(Random, 8)) {
  case 0:
    IsKilled_ = true;
    Fixture_.killProcess(FaultyDaemon_);
    break;
  case 1:
    IsFrozen_ = true;
    Fixture_.fleet().daemon(FaultyDaemon_).process().stop();
    Fixture_.keyValue().setSwitches({{"delay_ms", 40}});
    break;
  case 2:
    Fixture_.keyValue().setSwitches({{"outage", true}});
    break;
  case 3:
    Fixture_.keyValue().setSwitches({{"hang", true}});
    break;
  case 4:
    Fixture_.keyValue().put("/standin/lost-replies",
                            {{"key_prefix", "/amaranth/"}, {"count", 5}});
    break;
  case 5:
    Fixture_.setServiceSwitches({{"drop_replies", 5}});
    break;
  case 6:
    Fixture_.setServiceSwitches({{"silent_after", 3}, {"silent", 2}});
    break;
  default:
    Fixture_.setServiceSwitches({{"late_ms", 100}, {"delay_ms", 100}});
    break;
  }
}

void MixedFaults::endFault() {
  Fixture_.keyValue().setSwitches(
      {{"outage", false}, {"hang", false}, {"delay_ms", 0}});
  Fixture_.setServiceSwitches({{"drop_replies", 0},
                               {"silent_after", 0},
                               {"silent", 0},
                               {"late_ms", 0},
                               {"delay_ms", 0}});
  if (IsFrozen_)
    Fixture_.fleet().daemon(FaultyDaemon_).process().resume();
  if (IsKilled_)
    Fixture_.restart(FaultyDaemon_);
  IsFrozen_ = false;
  IsKilled_ = false;
}

bool MixedFaults::waitIdleAndResend() {
  for (std::size_t Observer : {0U, 1U, 2U})
    Fixture_.fleet().waitMemberStatus({0, 1, 2}, Observer, "alive");
  if (!Fixture_.waitIdle({0, 1, 2}))
    return false;
  if (!Settings_.ResendAfterFaults_)
    return true;
  for (Order Resent : SentOrders_) {
    Resent.DisconnectAfter_ = Seconds{20};
    for (std::size_t Host : {0U, 1U, 2U})
      Fixture_.send(Host, Resent);
  }
  return Fixture_.waitIdle({0, 1, 2});
}

} // namespace amaranth::integration
