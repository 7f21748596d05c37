/// \file
/// Fault switches that tests set at run time.
#ifndef AMARANTH_STANDIN_SWITCHBOARD_H
#define AMARANTH_STANDIN_SWITCHBOARD_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace amaranth::standin {

/// Number of next calls that a fault applies to: 0 none, -1 all.
using CallCount = std::atomic<std::int64_t>;

/// True if the fault applies to this call; counts it.
bool takeOne(CallCount &Count);

/// Names the switches of a stand-in for its control API.
class SwitchBoard final {
public:
  void add(std::string Name, std::atomic<bool> &Value);
  void add(std::string Name, std::atomic<double> &Value);
  void add(std::string Name, std::atomic<std::int64_t> &Value);

  /// The current value of every switch.
  nlohmann::json snapshot() const;

  /// Sets the named switches, all or none; returns the fault of a bad change.
  std::optional<std::string> apply(const nlohmann::json &Change);

private:
  using Switch = std::variant<std::atomic<bool> *, std::atomic<double> *,
                              std::atomic<std::int64_t> *>;

  std::map<std::string, Switch> Switches_;
};

} // namespace amaranth::standin

#endif
