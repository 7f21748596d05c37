/// \file
/// Fault switches that tests set at run time.
#ifndef AMARANTH_STANDIN_FAULTSWITCHES_H
#define AMARANTH_STANDIN_FAULTSWITCHES_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace amaranth::standin {

/// Number of upcoming calls that a fault applies to; 0 for none, -1 for all.
using CallCount = std::atomic<std::int64_t>;

/// Returns whether the fault applies to the current call, and decrements a
/// positive count.
bool consumeOne(CallCount &Count);

/// Maps the names that the control API uses to the switches of a stand-in.
class FaultSwitches final {
public:
  void add(std::string Name, std::atomic<bool> &Value);
  void add(std::string Name, std::atomic<double> &Value);
  void add(std::string Name, std::atomic<std::int64_t> &Value);

  /// The current value of every switch.
  nlohmann::json snapshot() const;

  /// Sets the named switches. Returns an error text, and changes nothing, if a
  /// switch is unknown or a value has the wrong type.
  std::optional<std::string> apply(const nlohmann::json &Change);

private:
  using Switch = std::variant<std::atomic<bool> *, std::atomic<double> *,
                              std::atomic<std::int64_t> *>;

  std::map<std::string, Switch> Switches_;
};

} // namespace amaranth::standin

#endif
