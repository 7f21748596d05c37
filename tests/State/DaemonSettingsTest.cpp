#include "State/DaemonSettings.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::state;

namespace {

const std::string RequiredKeys = R"(host = "h1"
data_centre = "north"
fleet_secret = "0123456789abcdef"
key_value_endpoints = ["127.0.0.1:2379", "127.0.0.1:2380"]
operator_key_digest = "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)";

DocumentFault readSingleFault(const std::string &Text) {
  SettingsReadResult Reading = readDaemonSettings(Text);
  CHECK_FALSE(Reading.Settings_);
  for (const DocumentFault &Fault : Reading.Faults_)
    UNSCOPED_INFO(toString("settings", Fault));
  REQUIRE(Reading.Faults_.size() == 1);
  return Reading.Faults_[0];
}

} // namespace

// Guards against a key that is accepted but ignored or read into another field.
TEST_CASE("every key of the settings is read") {
  SettingsReadResult Reading = readDaemonSettings(RequiredKeys + R"(
caller_address = "127.0.0.1:8000"
peer_address = "127.0.0.1:8001"
seeds = ["127.0.0.1:8001"]
host_list_address = "127.0.0.1:8002"
log_level = "warn"
entry_host_keep_ms = 101
ticket_lifetime_ms = 102
retention_ms = 103
probe_period_ms = 14
isolation_limit_ms = 105
load_poll_period_ms = 106
host_list_period_ms = 107
progress_timeout_ms = 108
max_connections = 9
max_in_flight = 10
baseline_policy = true
)");
  REQUIRE(Reading.Settings_);
  const DaemonSettings &Settings = *Reading.Settings_;
  CHECK(Settings.Host_ == "h1");
  CHECK(Settings.DataCentre_ == "north");
  CHECK(Settings.FleetSecret_ == "0123456789abcdef");
  CHECK(Settings.KeyValueEndpoints_.size() == 2);
  CHECK(Settings.OperatorKeyDigest_ == std::string(64, 'b'));
  CHECK(Settings.CallerAddress_ == "127.0.0.1:8000");
  CHECK(Settings.PeerAddress_ == "127.0.0.1:8001");
  CHECK(Settings.Seeds_ == std::vector<std::string>{"127.0.0.1:8001"});
  CHECK(Settings.HostListAddress_ == "127.0.0.1:8002");
  CHECK(Settings.LogLevel_ == LogLevel::Warn);
  CHECK(Settings.EntryHostCacheTime_ == Milliseconds{101});
  CHECK(Settings.TicketLifetime_ == Milliseconds{102});
  CHECK(Settings.Retention_ == Milliseconds{103});
  CHECK(Settings.ProbePeriod_ == Milliseconds{14});
  CHECK(Settings.IsolationLimit_ == Milliseconds{105});
  CHECK(Settings.LoadPollPeriod_ == Milliseconds{106});
  CHECK(Settings.HostListPeriod_ == Milliseconds{107});
  CHECK(Settings.ProgressTimeout_ == Milliseconds{108});
  CHECK(Settings.MaxConnections_ == 9);
  CHECK(Settings.MaxInFlight_ == 10);
  CHECK(Settings.BaselinePolicy_);
}

// Guards against a daemon that starts with other settings than intended.
TEST_CASE("a fault of the settings is found at its key") {
  auto [Line, Key] = GENERATE(table<std::string, std::string>({
      {"caller_address = \"host:1\"", "caller_address"},
      {"peer_address = \"127.0.0.1\"", "peer_address"},
      {"seeds = [\"127.0.0.1:0\"]", "seeds[0]"},
      {"seeds = \"127.0.0.1:1\"", "seeds"},
      {"log_level = \"verbose\"", "log_level"},
      {"probe_period_ms = 0", "probe_period_ms"},
      {"ticket_lifetime_ms = 1000", "ticket_lifetime_ms"},
      {"isolation_limit_ms = 200", "isolation_limit_ms"},
      {"max_in_flight = 9223372036854775807", "max_in_flight"},
      {"probe_period = 100", "\"probe_period\""},
  }));
  CAPTURE(Line);
  DocumentFault Fault = readSingleFault(RequiredKeys + Line + "\n");
  CHECK(Fault.Key_ == Key);
  CHECK(Fault.Line_ == 6);
}

// Guards against a missing key that is detected only when the daemon uses it,
// and against messages that contain the fleet secret.
TEST_CASE("missing keys are all named and a short secret is not shown") {
  CHECK(readDaemonSettings("").Faults_.size() == 5);
  std::string Text = RequiredKeys;
  Text.replace(Text.find("0123456789abcdef"), 16, "hunter2");
  CHECK(readSingleFault(Text).Found_.find("hunter2") == std::string::npos);
}
