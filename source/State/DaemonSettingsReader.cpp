#include "State/DaemonSettings.h"
#include "State/TomlReader.h"

namespace amaranth::state {

namespace {

constexpr std::int64_t DayMs = 24 * 3600 * 1000;
constexpr IntegerRange PeriodRange = {10, 60000};
constexpr IntegerRange LimitRange = {10, 600000};
constexpr IntegerRange LifetimeRange = {100, DayMs};
constexpr IntegerRange CountRange = {1, 100000};

bool isLogLevel(std::string_view Text) {
  return Text == "debug" || Text == "info" || Text == "warn" || Text == "error";
}
constexpr TextRule LogLevelRule = {
    isLogLevel, "\"debug\", \"info\", \"warn\" or \"error\""};

void readIdentity(TomlReader &Root, DaemonSettings &Settings) {
  Root.readText("host", Presence::Required, NameRule, Settings.Host_);
  Root.readText("data_centre", Presence::Required, NameRule,
                Settings.DataCentre_);
  Root.readText("fleet_secret", Presence::Required, SecretRule,
                Settings.FleetSecret_);
  Root.readText("operator_key_digest", Presence::Required, DigestRule,
                Settings.OperatorKeyDigest_);
  for (char &C : Settings.OperatorKeyDigest_)
    if (C >= 'A' && C <= 'F')
      C = static_cast<char>(C - 'A' + 'a');
}

void readAddresses(TomlReader &Root, DaemonSettings &Settings) {
  Root.readText("caller_address", Presence::Optional, ListenAddressRule,
                Settings.CallerAddress_);
  bool HasPeer = Root.readText("peer_address", Presence::Optional,
                               ListenAddressRule, Settings.PeerAddress_);
  Root.readTexts("seeds", Presence::Optional, AddressRule, Settings.Seeds_);
  Root.readTexts("key_value_endpoints", Presence::Required, AddressRule,
                 Settings.KeyValueEndpoints_);
  Root.readText("host_list_address", Presence::Optional, OptionalAddressRule,
                Settings.HostListAddress_);
  if (HasPeer && Settings.PeerAddress_ == Settings.CallerAddress_ &&
      !Settings.PeerAddress_.ends_with(":0"))
    Root.addFault("peer_address", quoteFound(Settings.PeerAddress_),
                  "an address other than caller_address");
}

void readDurations(TomlReader &Root, DaemonSettings &Settings) {
  Root.readMilliseconds("entry_host_keep_ms", LifetimeRange,
                        Settings.EntryHostKeep_);
  Root.readMilliseconds("ticket_lifetime_ms", LifetimeRange,
                        Settings.TicketLifetime_);
  Root.readMilliseconds("retention_ms", LifetimeRange, Settings.Retention_);
  Root.readMilliseconds("probe_period_ms", PeriodRange, Settings.ProbePeriod_);
  Root.readMilliseconds("isolation_limit_ms", LimitRange,
                        Settings.IsolationLimit_);
  Root.readMilliseconds("load_poll_period_ms", PeriodRange,
                        Settings.LoadPollPeriod_);
  Root.readMilliseconds("host_list_period_ms", PeriodRange,
                        Settings.HostListPeriod_);
  Root.readMilliseconds("progress_timeout_ms", LimitRange,
                        Settings.ProgressTimeout_);
  if (Settings.TicketLifetime_ < Settings.EntryHostKeep_)
    Root.addFault("ticket_lifetime_ms",
                  std::to_string(Settings.TicketLifetime_.count()),
                  "at least entry_host_keep_ms, because a ticket is used as "
                  "long as the answer that carries it");
  if (Settings.IsolationLimit_ <= Settings.ProbePeriod_)
    Root.addFault("isolation_limit_ms",
                  std::to_string(Settings.IsolationLimit_.count()),
                  "more than probe_period_ms");
}

void readLimits(TomlReader &Root, DaemonSettings &Settings) {
  Root.readInteger("max_connections", CountRange, Settings.MaxConnections_);
  Root.readInteger("max_in_flight", CountRange, Settings.MaxInFlight_);
  Root.readFlag("baseline_policy", Settings.BaselinePolicy_);
  std::string Level;
  if (!Root.readText("log_level", Presence::Optional, LogLevelRule, Level))
    return;
  Expected<LogLevel> Parsed = capture([&] { return parseLogLevel(Level); });
  assert(Parsed);
  Settings.LogLevel_ = *Parsed;
}

} // namespace

SettingsReading readDaemonSettings(std::string_view Text) {
  SettingsReading Reading;
  std::optional<toml::table> Table = parseToml(Text, Reading.Faults_);
  if (!Table)
    return Reading;
  TomlReader Root(*Table, "", Reading.Faults_);
  DaemonSettings Settings;
  readIdentity(Root, Settings);
  readAddresses(Root, Settings);
  readDurations(Root, Settings);
  readLimits(Root, Settings);
  Root.rejectUnknown();
  if (Reading.Faults_.empty())
    Reading.Settings_ = std::move(Settings);
  return Reading;
}

} // namespace amaranth::state
