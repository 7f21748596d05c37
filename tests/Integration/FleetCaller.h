/// \file
/// A caller that uses entry hosts as docs/api.md prescribes.
#ifndef AMARANTH_TESTS_INTEGRATION_FLEETCALLER_H
#define AMARANTH_TESTS_INTEGRATION_FLEETCALLER_H

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace amaranth::integration {

/// Answer to one request, and the attempts that it took.
struct FleetAnswer {
  bool Ok_ = false; ///< A complete answer arrived.
  int Status_ = 0;  ///< Of the last reply; 0 if none arrived.
  nlohmann::json Body_;
  std::string Text_;         ///< Tokens of a stream.
  std::string Address_;      ///< Entry host that answered.
  int FailedAttempts_ = 0;   ///< Entry hosts that failed before.
  std::string FirstFailure_; ///< Address and error of the first failure.
  SteadyTime LastSentAt_;    ///< Start of the last attempt.
};

/// Caches the list of entry hosts for the time that its answer allows, and
/// sends each request to the first of them, or to the next if that fails. Not
/// thread-safe.
class FleetCaller final {
public:
  FleetCaller(std::vector<std::string> Addresses, std::string Key);

  FleetAnswer lookUp(const std::string &Service, const std::string &Id);
  /// A non-idempotent call. Its key consists of the cached ticket and
  /// \p OrderId.
  FleetAnswer place(const std::string &Service, const std::string &OrderId);
  /// A streamed pipeline request. Ok_ is set only if the count and the digest
  /// in the end event match the tokens.
  FleetAnswer stream(const std::string &Service, const std::string &Input,
                     int MaxTokens);

  /// Requests the list of entry hosts even if the cached one is valid; false if
  /// no host gives one, or none with a ticket although \p NeedTicket.
  bool refreshEntryHosts(bool NeedTicket = false);
  /// Moves \p Address to the front of the cached list.
  void preferEntryHost(const std::string &Address);

private:
  transport::HttpCall makeCall(const std::string &Address,
                               const std::string &Method,
                               const std::string &Path) const;
  void refreshIfNeeded(bool NeedTicket);
  bool requestEntryHosts(const std::string &Address, bool NeedTicket);
  FleetAnswer send(const std::string &Service, const nlohmann::json &Body,
                   const std::string &IdempotencyKey, bool Stream);
  bool tryEntryHost(const std::string &Address, transport::HttpCall Call,
                    bool Stream, FleetAnswer &Answer);

  std::vector<std::string> SeedAddresses_; ///< Sources of the list.
  std::string Key_;
  transport::HttpClient Client_{{}};
  std::vector<std::string> EntryHosts_; ///< Cached list, best first.
  std::string Ticket_;
  SteadyTime ValidUntil_{};
};

} // namespace amaranth::integration

#endif
