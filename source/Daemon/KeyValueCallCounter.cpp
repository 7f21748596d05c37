#include "Daemon/KeyValueCallCounter.h"

namespace amaranth::daemon {

using protocol::KeyValueCall;

namespace {

/// Calls a second that the whole idle fleet may make (docs/design.md, 1.2).
constexpr double FleetBudgetPerSecond = 20;

constexpr KeyValueCall AllKinds[] = {
    KeyValueCall::Range,       KeyValueCall::Commit,
    KeyValueCall::GrantLease,  KeyValueCall::KeepAlive,
    KeyValueCall::RevokeLease, KeyValueCall::Watch};

} // namespace

KeyValueCallCounter::KeyValueCallCounter(state::Metrics &Metrics) {
  Metrics.describe("amaranth_keyvalue_calls_total",
                   "Calls to the key-value service; a watch counts as one.");
  Metrics.describe("amaranth_keyvalue_fleet_budget_calls_per_second",
                   "Calls a second that the whole idle fleet may make.");
  Metrics.gauge("amaranth_keyvalue_fleet_budget_calls_per_second")
      .set(FleetBudgetPerSecond);
  for (KeyValueCall Kind : AllKinds)
    Counters_[Kind] = &Metrics.counter("amaranth_keyvalue_calls_total",
                                       {{"call", toString(Kind)}});
}

void KeyValueCallCounter::onCall(KeyValueCall Call) {
  Counters_.at(Call)->add();
}

std::map<std::string, std::uint64_t> KeyValueCallCounter::counts() const {
  std::map<std::string, std::uint64_t> Counts;
  for (const auto &[Kind, Count] : Counters_)
    Counts[toString(Kind)] = Count->value();
  return Counts;
}

} // namespace amaranth::daemon
