#include "Coordination/HostListPoller.h"

#include <nlohmann/json.hpp>

namespace amaranth::coordination {

using nlohmann::json;

namespace {

/// Longest list that is accepted; the intended fleet size is 10,000 servers.
constexpr std::size_t MaxHosts = 100'000;

std::optional<HostListEntry> readHost(const json &Host) {
  if (!Host.is_object())
    return std::nullopt;
  auto Address = Host.find("address");
  if (Address == Host.end() || !Address->is_string())
    return std::nullopt;
  HostListEntry Entry;
  Entry.Address_ = Address->get<std::string>();
  auto Leaving = Host.find("leaving");
  auto State = Host.find("state");
  if (Leaving != Host.end() && Leaving->is_boolean())
    Entry.Leaving_ = Leaving->get<bool>();
  else if (State != Host.end() && State->is_string())
    Entry.Leaving_ = State->get<std::string>() == "leaving";
  else
    return std::nullopt;
  return Entry;
}

} // namespace

std::optional<std::vector<HostListEntry>> readHostList(std::string_view Body) {
  json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("hosts"))
    return std::nullopt;
  const json &Hosts = Parsed["hosts"];
  if (!Hosts.is_array() || Hosts.size() > MaxHosts)
    return std::nullopt;
  std::vector<HostListEntry> Entries;
  for (const json &Host : Hosts) {
    auto Entry = readHost(Host);
    if (!Entry)
      return std::nullopt;
    Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

HostListPoller::HostListPoller(transport::HttpClient &Client,
                               transport::TimerService &Timers,
                               TargetTable &Table,
                               const HostListPollerSettings &Settings)
    : Client_(Client), Table_(Table), Settings_(Settings), Arena_({1}),
      Timer_(Timers.subscribe(Settings.Period_, [this] { poll(); })) {}

void HostListPoller::poll() {
  if (Settings_.Address_.empty() || InProgress_.exchange(true))
    return;
  Arena_.enqueue([this] {
    fetch();
    InProgress_ = false;
  });
}

void HostListPoller::fetch() {
  transport::HttpCall Call;
  Call.Address_ = Settings_.Address_;
  Call.Method_ = "GET";
  Call.Path_ = "/v1/hosts";
  Call.Deadline_ = SteadyClock::now() + Settings_.Timeout_;
  Call.ProgressTimeout_ = Settings_.Timeout_;
  transport::HttpOutcome Outcome = Client_.call(Call);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return;
  if (auto Hosts = readHostList(Outcome.Reply_.Body_))
    Table_.onHostList(*Hosts);
  else
    ++BadLists_;
}

} // namespace amaranth::coordination
