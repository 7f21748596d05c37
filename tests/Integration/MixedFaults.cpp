#include "Integration/MixedFaults.h"

#include "Integration/Eventually.h"

#include <thread>

namespace amaranth::integration {

namespace {

/// Attempts of a caller during the faults.
constexpr int Attempts = 4;
/// Longest time that a fault lasts if no order ends meanwhile.
constexpr Seconds LongestFault{4};
/// Orders that end during a fault, if they can.
constexpr int OrdersPerFault = 15;

std::size_t pick(std::mt19937_64 &Random, std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
}

} // namespace

MixedFaults::MixedFaults(OrderDesk &Desk, const MixedFaultsSettings &Settings)
    : Desk_(Desk), Settings_(Settings) {}

bool MixedFaults::run() {
  std::vector<std::thread> Callers;
  for (int I = 0; I < Settings_.Callers_; ++I)
    Callers.emplace_back([this, I] {
      placeOrders(Settings_.Seed_ * 1000 + static_cast<std::uint64_t>(I));
    });
  injectFaults();
  for (std::thread &Caller : Callers)
    Caller.join();
  return settleAll();
}

void MixedFaults::placeOrders(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  while (Placed_++ < Settings_.Orders_) {
    placeOne(Random);
    ++Settled_;
  }
}

void MixedFaults::placeOne(std::mt19937_64 &Random) {
  std::size_t Home = pick(Random, 3);
  bool Ticketed = pick(Random, 10) < 8;
  std::optional<Order> Made;
  for (int I = 0; Ticketed && !Made && I < Attempts; ++I)
    Made = Desk_.tryTicketed((Home + static_cast<std::size_t>(I)) % 3);
  if (!Made)
    Made = Desk_.plain();
  Made->Timeout_ = Milliseconds{1500};
  Made->Patience_ = Milliseconds{pick(Random, 5) == 0 ? 60 : 1800};
  {
    std::lock_guard Lock(Mutex_);
    Sent_.push_back(*Made);
  }
  for (int I = 0; I < Attempts; ++I) {
    std::size_t Host = pick(Random, 3);
    if (pick(Random, 4) == 0) {
      auto Beside = Desk_.sendLater((Host + 1) % 3, *Made);
      bool Final = Desk_.send(Host, *Made).isFinal();
      if (Beside.get().isFinal() || Final)
        return;
      continue;
    }
    if (Desk_.send(Host, *Made).isFinal())
      return;
  }
}

void MixedFaults::injectFaults() {
  std::mt19937_64 Random(Settings_.Seed_);
  for (int I = 0; I < Settings_.Faults_; ++I) {
    injectOne(Random);
    hold();
    endFault();
  }
}

/// Lasts until some orders have ended, or all, or for the longest time.
void MixedFaults::hold() {
  int Until = std::min(Settled_ + OrdersPerFault, Settings_.Orders_);
  eventually([&] { return Settled_ >= Until; }, LongestFault);
}

void MixedFaults::injectOne(std::mt19937_64 &Random) {
  Victim_ = pick(Random, 3);
  switch (pick(Random, 8)) {
  case 0:
    Killed_ = true;
    Desk_.killProcess(Victim_);
    break;
  case 1:
    Frozen_ = true;
    Desk_.fleet().daemon(Victim_).process().stop();
    Desk_.keyValue().setSwitches({{"delay_ms", 40}});
    break;
  case 2:
    Desk_.keyValue().setSwitches({{"outage", true}});
    break;
  case 3:
    Desk_.keyValue().setSwitches({{"hang", true}});
    break;
  case 4:
    Desk_.keyValue().put("/standin/lost-replies",
                         {{"key_prefix", "/amaranth/"}, {"count", 5}});
    break;
  case 5:
    Desk_.setServices({{"drop_replies", 5}});
    break;
  case 6:
    Desk_.setServices({{"silent_after", 3}, {"silent", 2}});
    break;
  default:
    Desk_.setServices({{"late_ms", 100}, {"delay_ms", 100}});
    break;
  }
}

void MixedFaults::endFault() {
  Desk_.keyValue().setSwitches(
      {{"outage", false}, {"hang", false}, {"delay_ms", 0}});
  Desk_.setServices({{"drop_replies", 0},
                     {"silent_after", 0},
                     {"silent", 0},
                     {"late_ms", 0},
                     {"delay_ms", 0}});
  if (Frozen_)
    Desk_.fleet().daemon(Victim_).process().resume();
  if (Killed_)
    Desk_.restart(Victim_);
  Frozen_ = false;
  Killed_ = false;
}

bool MixedFaults::settleAll() {
  for (std::size_t Observer : {0U, 1U, 2U})
    Desk_.fleet().waitStatus({0, 1, 2}, Observer, "alive");
  if (!Desk_.waitQuiet({0, 1, 2}))
    return false;
  if (!Settings_.AskAgain_)
    return true;
  for (Order Again : Sent_) {
    Again.Patience_ = Seconds{20};
    for (std::size_t Host : {0U, 1U, 2U})
      Desk_.send(Host, Again);
  }
  return Desk_.waitQuiet({0, 1, 2});
}

} // namespace amaranth::integration
