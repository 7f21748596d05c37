#include "Daemon/KeyValueCallCounter.h"

namespace amaranth::daemon {

using protocol::KeyValueCall;

namespace {

/// Calls per second that an idle fleet may make in total (docs/design.md, 1.2).
constexpr double FleetBudgetPerSecond = 20;

constexpr KeyValueCall AllCallKinds[] = {
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
  for (KeyValueCall CallKind : AllCallKinds)
    Counters_[CallKind] = &Metrics.counter("amaranth_keyvalue_calls_total",
                                           {{"call", toString(CallKind)}});
}

void KeyValueCallCounter::onCall(KeyValueCall Call) {
  Counters_.at(Call)->add();
}

std::map<std::string, std::uint64_t> KeyValueCallCounter::counts() const {
  std::map<std::string, std::uint64_t> Counts;
  for (const auto &[CallKind, CallCounter] : Counters_)
    Counts[toString(CallKind)] = CallCounter->value();
  return Counts;
}

} // namespace amaranth::daemon
