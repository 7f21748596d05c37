#include "Integration/LoadGenerator.h"
#include "Integration/StandinProcess.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

// Guards against arrival times that differ between runs with one seed, and
// against a wrong rate.
TEST_CASE("arrivals depend on the seed alone and keep the rate") {
  LoadSettings Settings;
  Settings.RatePerSecond_ = 1000;
  Settings.Duration_ = Seconds{10};
  LoadGenerator First(Settings);
  LoadGenerator Again(Settings);
  Settings.Seed_ = 2;
  LoadGenerator Other(Settings);
  CHECK(First.arrivals() == Again.arrivals());
  CHECK(First.arrivals() != Other.arrivals());
  // Five standard deviations of a Poisson count of 10000.
  CHECK(std::abs(static_cast<double>(First.arrivals().size()) - 10000) < 500);
}

// Guards against coordinated omission: latencies that leave out the time a
// request waits for its turn behind a slow reply.
TEST_CASE("latency counts from the intended send time") {
  LoadSettings Settings;
  Settings.RatePerSecond_ = 1000;
  Settings.Duration_ = Milliseconds{100};
  Settings.MaxInFlight_ = 1;
  LoadGenerator Generator(Settings);
  LoadReport Report = Generator.run([](std::size_t) {
    std::this_thread::sleep_for(Milliseconds{5});
    return LoadOutcome{true, "done"};
  });
  std::size_t Total = Generator.arrivals().size();
  REQUIRE(Total > 50);
  CHECK(Report.count("done") == Total);
  Milliseconds Serial{5 * static_cast<long>(Total)};
  CHECK(Report.samples().back().Latency_ >= Serial - Settings.Duration_);
  CHECK(Report.maxSendDelay() > Milliseconds{50});
}

// Guards against stand-ins that drop calls or swap replies under concurrent
// load.
TEST_CASE("stand-ins answer every request of a load") {
  constexpr std::size_t Targets = 4;
  StandinProcess Pool("pool", {"--service-us=2000", "--slots=16"}, Targets);
  LoadSettings Settings;
  Settings.RatePerSecond_ = 400;
  Settings.Duration_ = Seconds{2};
  LoadGenerator Generator(Settings);
  transport::HttpClient Client({});
  LoadReport Report = Generator.run([&](std::size_t Index) {
    transport::HttpCall Call;
    Call.Address_ = Pool.address(Index % Targets);
    Call.Path_ = "/v1/embeddings";
    Call.Headers_.add("X-Request-Id", std::to_string(Index));
    Call.Body_ = R"({"input":"x"})";
    Call.Deadline_ = SteadyClock::now() + Seconds{30};
    Call.ProgressTimeout_ = Seconds{30};
    auto Outcome = Client.call(Call);
    bool Matches =
        Outcome.Reply_.Headers_.get("X-Request-Id") == std::to_string(Index);
    return LoadOutcome{Outcome.Ok_ && Matches, ""};
  });
  CHECK(Report.countOk() == Generator.arrivals().size());
  CHECK(Report.latency(0.5) >= Milliseconds{2});
}
