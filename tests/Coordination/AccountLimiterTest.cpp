#include "Coordination/AccountLimiter.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

constexpr double Limit = 100;

/// A fleet whose hosts exchange usage, with a simulated clock.
struct Fleet {
  explicit Fleet(int Count) : Silent_(static_cast<std::size_t>(Count)) {
    std::vector<std::string> Names;
    for (int I = 0; I < Count; ++I) {
      AccountLimiterSettings Settings;
      Settings.Now_ = [this] { return Now_; };
      Hosts_.push_back(std::make_unique<AccountLimiter>(Settings));
      Names.push_back(std::to_string(I));
    }
    for (std::size_t I = 0; I < Hosts_.size(); ++I) {
      auto Peers = Names;
      Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(I));
      Hosts_[I]->setPeers(Peers);
    }
  }

  /// Runs for \p Time with \p Demand in requests per second, by host. Returns
  /// the admitted requests per second.
  double run(Seconds Time, const std::vector<double> &Demand) {
    int Admitted = 0;
    std::vector<double> Due(Hosts_.size());
    for (int Step = 0; Step < Time.count() * 100; ++Step) {
      Now_ += Milliseconds{10};
      for (std::size_t I = 0; I < Hosts_.size(); ++I)
        for (Due[I] += Demand[I] / 100; Due[I] >= 1; Due[I] -= 1)
          Admitted += Hosts_[I]->acquire("s", "a", Limit).count() == 0;
      if (Step % 20 == 0)
        exchange();
    }
    return Admitted / double(Time.count());
  }

  /// Sends the usage of each host that is not silent to the others.
  void exchange() {
    for (std::size_t Sender = 0; Sender < Hosts_.size(); ++Sender)
      for (std::size_t Receiver = 0; Receiver < Hosts_.size(); ++Receiver)
        if (Sender != Receiver && !Silent_[Sender] && !Silent_[Receiver])
          Hosts_[Receiver]->onPeerUsage(std::to_string(Sender),
                                        Hosts_[Sender]->usage());
  }

  SteadyTime Now_{Seconds{1000}};
  std::vector<std::unique_ptr<AccountLimiter>> Hosts_;
  std::vector<bool> Silent_;
};

} // namespace

// Guards against dividing the fleet limit into fixed parts, which would refuse
// requests of an account whose callers all use one host.
TEST_CASE("the share of an account limit follows demand") {
  Fleet F(5);
  F.run(Seconds{5}, {300, 0, 0, 0, 0});
  double Concentrated = F.run(Seconds{10}, {300, 0, 0, 0, 0});
  CHECK(Concentrated >= 0.9 * Limit);
  CHECK(Concentrated <= 1.05 * Limit);
  F.run(Seconds{5}, {100, 100, 100, 100, 100});
  double Spread = F.run(Seconds{10}, {100, 100, 100, 100, 100});
  CHECK(Spread >= 0.9 * Limit);
  CHECK(Spread <= 1.05 * Limit);
}

// Guards against exceeding the limit by more than the bound when hosts receive
// no reports from each other.
TEST_CASE("silent hosts exceed the limit at most by their part") {
  Fleet F(5);
  F.Silent_ = {true, true, false, false, false};
  F.run(Seconds{6}, {200, 200, 200, 200, 200});
  double Admitted = F.run(Seconds{10}, {200, 200, 200, 200, 200});
  CHECK(Admitted <= (1 + 2.0 / 5) * Limit);
  CHECK(Admitted >= 0.9 * Limit);
  CHECK(F.Hosts_[0]->share("s", "a", Limit) == Approx(Limit / 5));
}

// Guards against a refusal without a usable retry delay.
TEST_CASE("a refused request succeeds after the given wait") {
  Fleet F(1);
  Milliseconds Wait{0};
  for (int I = 0; I < 1000 && Wait.count() == 0; ++I)
    Wait = F.Hosts_[0]->acquire("s", "a", Limit);
  REQUIRE(Wait.count() > 0);
  F.Now_ += Wait;
  CHECK(F.Hosts_[0]->acquire("s", "a", Limit).count() == 0);
}
