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

void readIdentity(TomlReader &Reader, DaemonSettings &Settings) {
  Reader.readText("host", Presence::Required, NameRule, Settings.Host_);
  Reader.readText("data_centre", Presence::Required, NameRule,
                  Settings.DataCentre_);
  Reader.readText("fleet_secret", Presence::Required, SecretRule,
                  Settings.FleetSecret_);
  Reader.readText("operator_key_digest", Presence::Required, DigestRule,
                  Settings.OperatorKeyDigest_);
  for (char &C : Settings.OperatorKeyDigest_)
    if (C >= 'A' && C <= 'F')
      C = static_cast<char>(C - 'A' + 'a');
}

void readAddresses(TomlReader &Reader, DaemonSettings &Settings) {
  Reader.readText("caller_address", Presence::Optional, ListenAddressRule,
                  Settings.CallerAddress_);
  bool HasPeerAddress =
      Reader.readText("peer_address", Presence::Optional, ListenAddressRule,
                      Settings.PeerAddress_);
  Reader.readTexts("seeds", Presence::Optional, AddressRule, Settings.Seeds_);
  Reader.readTexts("key_value_endpoints", Presence::Required, AddressRule,
                   Settings.KeyValueEndpoints_);
  Reader.readText("host_list_address", Presence::Optional, OptionalAddressRule,
                  Settings.HostListAddress_);
  if (HasPeerAddress && Settings.PeerAddress_ == Settings.CallerAddress_ &&
      !Settings.PeerAddress_.ends_with(":0"))
    Reader.addFault("peer_address", quoteFound(Settings.PeerAddress_),
                    "an address other than caller_address");
}

void readDurations(TomlReader &Reader, DaemonSettings &Settings) {
  Reader.readMilliseconds("entry_host_keep_ms", LifetimeRange,
                          Settings.EntryHostCacheTime_);
  Reader.readMilliseconds("ticket_lifetime_ms", LifetimeRange,
                          Settings.TicketLifetime_);
  Reader.readMilliseconds("retention_ms", LifetimeRange, Settings.Retention_);
  Reader.readMilliseconds("probe_period_ms", PeriodRange,
                          Settings.ProbePeriod_);
  Reader.readMilliseconds("isolation_limit_ms", LimitRange,
                          Settings.IsolationLimit_);
  Reader.readMilliseconds("load_poll_period_ms", PeriodRange,
                          Settings.LoadPollPeriod_);
  Reader.readMilliseconds("host_list_period_ms", PeriodRange,
                          Settings.HostListPeriod_);
  Reader.readMilliseconds("progress_timeout_ms", LimitRange,
                          Settings.ProgressTimeout_);
  if (Settings.TicketLifetime_ < Settings.EntryHostCacheTime_)
    Reader.addFault("ticket_lifetime_ms",
                    std::to_string(Settings.TicketLifetime_.count()),
                    "at least entry_host_keep_ms, because a ticket is used as "
                    "long as the answer that carries it");
  if (Settings.IsolationLimit_ <= Settings.ProbePeriod_)
    Reader.addFault("isolation_limit_ms",
                    std::to_string(Settings.IsolationLimit_.count()),
                    "more than probe_period_ms");
}

void readLimits(TomlReader &Reader, DaemonSettings &Settings) {
  Reader.readInteger("max_connections", CountRange, Settings.MaxConnections_);
  Reader.readInteger("max_in_flight", CountRange, Settings.MaxInFlight_);
  Reader.readFlag("baseline_policy", Settings.BaselinePolicy_);
  std::string LevelName;
  if (!Reader.readText("log_level", Presence::Optional, LogLevelRule,
                       LevelName))
    return;
  Expected<LogLevel> ParsedLevel =
      capture([&] { return parseLogLevel(LevelName); });
  assert(ParsedLevel);
  Settings.LogLevel_ = *ParsedLevel;
}

} // namespace

SettingsReadResult readDaemonSettings(std::string_view Text) {
  SettingsReadResult Reading;
  std::optional<toml::table> Table = parseToml(Text, Reading.Faults_);
  if (!Table)
    return Reading;
  TomlReader Reader(*Table, "", Reading.Faults_);
  DaemonSettings Settings;
  readIdentity(Reader, Settings);
  readAddresses(Reader, Settings);
  readDurations(Reader, Settings);
  readLimits(Reader, Settings);
  Reader.rejectUnknown();
  if (Reading.Faults_.empty())
    Reading.Settings_ = std::move(Settings);
  return Reading;
}

} // namespace amaranth::state
