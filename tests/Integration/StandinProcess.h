/// \file
/// Runs amaranth-standin as a child process.
#ifndef AMARANTH_TESTS_INTEGRATION_STANDINPROCESS_H
#define AMARANTH_TESTS_INTEGRATION_STANDINPROCESS_H

#include "Integration/ChildProcess.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace amaranth::integration {

/// Makes a call with a JSON body, empty if \p Body is null, on a new connection
/// with a deadline of 30 s.
transport::HttpOutcome callJson(const std::string &Address,
                                const std::string &Method,
                                const std::string &Path,
                                const nlohmann::json &Body = nullptr);

/// Starts a subcommand of amaranth-standin and controls it over HTTP. Functions
/// throw std::runtime_error on failure.
class StandinProcess final {
public:
  /// Starts \p Subcommand with \p Instances instances (--count if above 1) and
  /// waits until all listen.
  explicit StandinProcess(const std::string &Subcommand,
                          std::vector<std::string> Arguments = {},
                          int Instances = 1);

  /// "ip:port" of an instance.
  const std::string &address(std::size_t Index = 0) const;

  /// "ip:port" of the control interface.
  const std::string &controlAddress() const;

  /// Calls of the control interface. They return the body of a reply with
  /// status 200 and throw otherwise.
  nlohmann::json get(const std::string &Path, std::size_t Index = 0);
  nlohmann::json put(const std::string &Path, const nlohmann::json &Body,
                     std::size_t Index = 0);
  nlohmann::json post(const std::string &Path, const nlohmann::json &Body,
                      std::size_t Index = 0);

  /// Sets the named fault switches of an instance.
  void setSwitches(const nlohmann::json &Switches, std::size_t Index = 0);

  ChildProcess &process() { return Process_; }

private:
  std::string readAddress(const std::string &Name);
  nlohmann::json callControl(const std::string &Method, const std::string &Path,
                             const nlohmann::json &Body, std::size_t Index);

  ChildProcess Process_;
  std::vector<std::string> Addresses_;
  /// Empty if Addresses_ also serve the control interface.
  std::string ControlAddress_;
};

} // namespace amaranth::integration

#endif
