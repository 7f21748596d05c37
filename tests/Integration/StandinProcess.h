/// \file
/// A running amaranth-standin.
#ifndef AMARANTH_TESTS_INTEGRATION_STANDINPROCESS_H
#define AMARANTH_TESTS_INTEGRATION_STANDINPROCESS_H

#include "Integration/ChildProcess.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace amaranth::integration {

/// Makes a call with a body of JSON, empty if \p Body is null, on a new
/// connection and with a generous deadline.
transport::HttpOutcome callJson(const std::string &Address,
                                const std::string &Method,
                                const std::string &Path,
                                const nlohmann::json &Body = nullptr);

/// Starts a subcommand of amaranth-standin and controls it. Functions that
/// cannot do their work throw std::runtime_error.
class StandinProcess final {
public:
  /// Starts \p Subcommand with \p Instances instances (--count if above 1) and
  /// waits until all listen.
  explicit StandinProcess(const std::string &Subcommand,
                          std::vector<std::string> Arguments = {},
                          int Instances = 1);

  /// "ip:port" of an instance.
  const std::string &address(std::size_t Index = 0) const;

  /// "ip:port" of the HTTP control of a proxy.
  const std::string &controlAddress() const;

  /// Control calls; they return the body of a reply with status 200 and throw
  /// on any other outcome.
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
  std::string ControlAddress_; ///< Empty if the addresses serve control too.
};

} // namespace amaranth::integration

#endif
