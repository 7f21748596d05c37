#include "Coordination/CallerPlacement.h"
#include "Coordination/ProcessorMeter.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::HostState;

namespace {

/// Hosts of which each decides on its own, from the states of all.
struct Fleet {
  std::vector<HostState> States_;
  std::vector<CallerPlacement> Placements_;
  SteadyTime Now_{Seconds{1000}};

  /// Adds \p Count hosts, in turn to data centres "a", "b", "c" and "d".
  void add(int Count, double Cores, double Megabits) {
    for (int I = 0; I < Count; ++I) {
      HostState State;
      State.Host_ = "h" + std::to_string(States_.size());
      State.DataCentre_ = std::string(1, "abcd"[States_.size() % 4]);
      State.CallerAddress_ = State.Host_;
      State.Serving_ = true;
      State.ProcessorShare_ = Cores;
      State.LinkMegabits_ = Megabits;
      Placements_.emplace_back(State.Host_);
      States_.push_back(State);
    }
  }
  /// Lets all hosts exchange states; in a large fleet only the first ones. Host
  /// number \p Late gets none.
  void step(std::size_t Late = ~0UL) {
    Now_ += Milliseconds{250};
    std::vector<const HostState *> Serving;
    for (const HostState &State : States_)
      if (State.Serving_)
        Serving.push_back(&State);
    for (std::size_t I = 0; I < deciding(); ++I)
      if (I != Late)
        Placements_[I].update(Serving, Now_);
    for (std::size_t I = 0; I < deciding(); ++I)
      States_[I].CallerNeeds_ = Placements_[I].decisions();
  }
  void set(const std::string &DataCentre, double Busy, bool Serving = true) {
    for (HostState &State : States_)
      if (State.DataCentre_ == DataCentre) {
        State.BusyShare_ = Busy;
        State.Serving_ = Serving;
      }
  }
  /// Long enough for decisions to be made and to reach all hosts.
  void settle() {
    for (int I = 0; I < 6; ++I)
      step();
  }
  std::size_t deciding() const {
    return States_.size() > 100 ? 2 : States_.size();
  }
  const HostState &host(const std::string &Address) const {
    return States_.at(std::stoul(Address.substr(1)));
  }
  /// Number of named hosts of each data centre; the answers of all hosts must
  /// be the same.
  std::map<std::string, int> named(const std::string &DataCentre) {
    std::vector<std::string> Answer = Placements_[0].addresses(DataCentre);
    for (std::size_t I = 0; I < deciding(); ++I)
      REQUIRE(Placements_[I].addresses(DataCentre) == Answer);
    std::map<std::string, int> Counts;
    for (const std::string &Address : Answer) {
      REQUIRE(host(Address).Serving_);
      ++Counts[host(Address).DataCentre_];
    }
    return Counts;
  }
};

using Counts = std::map<std::string, int>;

} // namespace

// Guards against callers without a choice in small fleets and against answers
// with hosts that no longer serve.
TEST_CASE("caller placement: all of 5 hosts are named") {
  Fleet Small;
  Small.add(5, 0.5, 100);
  Small.set("a", 1);
  Small.step();
  for (const char *Zone : {"a", "b", "", "unknown"})
    CHECK(Small.named(Zone) == Counts{{"a", 2}, {"b", 1}, {"c", 1}, {"d", 1}});
  Small.set("a", 0, false);
  Small.step();
  CHECK(Small.named("a") == Counts{{"b", 1}, {"c", 1}, {"d", 1}});
  // In the smallest fleet that is not named as a whole, "b" has two hosts.
  Fleet Nine;
  Nine.add(9, 0.5, 100);
  Nine.step();
  CHECK(Nine.named("b")["b"] == 2);
  CHECK(Nine.Placements_[0].addresses("b").size() == 3);
}

// Guards against callers that use far hosts without need, against too few hosts
// for callers whose own are busy or gone, and against answers that alternate.
TEST_CASE("caller placement: 25 hosts help a busy data centre until it has "
          "been calm for long") {
  Fleet Middle;
  Middle.add(25, 0.5, 100);
  Middle.step();
  CHECK(Middle.named("a") == Counts{{"a", 7}});
  CHECK(Middle.named("unknown").size() == 4);
  Middle.set("a", 0.75);
  for (int Larger : {0, 4, 8})
    Middle.States_[Larger].BusyShare_ = 0.3;
  Middle.set("b", 0.72);
  Middle.settle();
  // 7 * 0.75 / 0.55 = 9.5 hosts, 6 * 0.72 / 0.55 = 7.9, and none from each
  // other.
  Counts Helped = Middle.named("a");
  CHECK(Helped.at("a") == 7);
  CHECK(Helped["c"] + Helped["d"] == 3);
  CHECK(Middle.named("b")["b"] == 6);
  // A lent host gets no callers of its own data centre.
  CHECK(Middle.named("c")["c"] == 6 - Helped["c"] - Middle.named("b")["c"]);
  std::vector<std::string> Before = Middle.Placements_[0].addresses("a");
  Middle.set("a", 0.54);
  Middle.set("b", 0.54);
  for (std::size_t I = 0; I < 25; ++I) {
    // Restarts a host, and with it each decider.
    Middle.States_[I].Serving_ = false;
    Middle.settle();
    Middle.Placements_[I] = CallerPlacement(Middle.States_[I].Host_);
    Middle.States_[I].Serving_ = true;
    // It knows few hosts and no decisions until its peers know it.
    HostState Near = Middle.States_[(I + 1) % 25];
    HostState Far = Middle.States_[(I + 3) % 25];
    Near.CallerNeeds_.clear();
    Far.CallerNeeds_.clear();
    Middle.Placements_[I].update({&Middle.States_[I], &Near, &Far},
                                 Middle.Now_);
    Middle.States_[I].CallerNeeds_ = Middle.Placements_[I].decisions();
    Middle.step(I);
    Middle.settle();
    Middle.named("a"); // All hosts agree.
    CHECK(Middle.Placements_[0].addresses("a") == Before);
  }
  // Calm troughs between crests.
  for (int I = 0; I < 400; ++I) {
    Middle.set("a", I % 60 < 30 ? 0.2 : 0.54);
    Middle.set("b", I % 60 < 30 ? 0.54 : 0.2);
    Middle.step();
    REQUIRE(Middle.Placements_[0].addresses("a") == Before);
  }
  Middle.set("a", 0.2);
  for (int I = 0; I < 130; ++I)
    Middle.step();
  CHECK(Middle.named("a") == Counts{{"a", 7}});
  // The four hosts that the callers need are still named with one of their own.
  Middle.set("a", 0, false);
  Middle.step();
  CHECK(Middle.named("a").size() == 3);
  Middle.States_[0].Serving_ = true;
  Middle.step();
  Counts Returned = Middle.named("a");
  CHECK(Returned.at("a") == 1);
  CHECK(Returned["b"] + Returned["c"] + Returned["d"] == 3);
}

// Guards against small hosts that get as many callers as large ones, against
// overload that moves between data centres whose waves have other phases, and
// against callers that change hosts all the time.
TEST_CASE("caller placement: 87 hosts carry waves of callers") {
  Fleet Mixed;
  Mixed.add(28, 0.4, 60);
  Mixed.add(59, 0.09, 10);
  std::map<std::string, std::set<std::vector<std::string>>> Answers;
  int Overloaded = 0;
  for (int Step = 0; Step < 4 * 180; ++Step) {
    std::map<std::string, double> Load; // In cores, by address.
    for (int Zone = 0; Zone < 4; ++Zone) {
      std::string Name(1, "abcd"[Zone]);
      // The seven large hosts of each data centre have 2.8 cores.
      double Wave = std::sin(2 * M_PI * (Step / 60.0 + Zone / 4.0));
      double Demand = (Zone == 0 ? 2.2 : 1.1) * (1 + 0.55 * Wave);
      const auto &Named = Mixed.Placements_[0].addresses(Name);
      if (Step > 4 * 30)
        Answers[Name].insert(Named);
      for (const std::string &Address : Named)
        Load[Address] += Demand / static_cast<double>(Named.size());
    }
    for (HostState &State : Mixed.States_) {
      double Share = Load[State.Host_] / State.ProcessorShare_;
      Overloaded += Share > 1 && Step > 4 * 15;
      State.BusyShare_ = std::min(1.0, Share);
    }
    Mixed.step();
  }
  CHECK(Overloaded == 0);
  for (const auto &[Zone, Different] : Answers)
    CHECK(Different.size() == 1);
  Mixed.named("a");
  for (const std::string &Address : Mixed.Placements_[0].addresses(""))
    CHECK(Mixed.host(Address).ProcessorShare_ > 0.09);
  // Many small hosts beside few large ones are needed.
  Fleet Small;
  Small.add(4, 2, 1000);
  Small.add(80, 0.3, 100);
  Small.step();
  CHECK(Small.named("a") == Counts{{"a", 21}});
}

// Guards against answers that callers cannot use in full, against all of them
// changing when one host is lost, and against crowds on a few hosts.
TEST_CASE("caller placement: 64 of 2,800 hosts are named") {
  Fleet Large;
  Large.add(2800, 0.5, 100);
  Large.step();
  CHECK(Large.named("a") == Counts{{"a", 64}});
  CHECK(Large.named("").size() == 4);
  std::vector<std::string> Before = Large.Placements_[0].addresses("b");
  Large.States_[std::stoul(Before[5].substr(1))].Serving_ = false;
  Large.step();
  std::vector<std::string> After = Large.Placements_[0].addresses("b");
  std::set<std::string> Both(Before.begin(), Before.end());
  Both.insert(After.begin(), After.end());
  CHECK(Both.size() == 65);
}

// Guards against a busy share of another unit or another time.
TEST_CASE("processor meter: the share of the last second") {
  ProcessorMeter Meter(0.5);
  SteadyTime Now{Seconds{1000}};
  Microseconds Used{0};
  for (int I = 0; I < 60; ++I) {
    Meter.sample(Used, Now);
    Now += Milliseconds{50};
    Used += I < 30 ? Microseconds{0} : Microseconds{10000};
  }
  CHECK(Meter.busyShare() == Approx(0.4).margin(0.03));
}
