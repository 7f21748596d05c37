/// \file
/// A caller that follows the page on interfaces.
#ifndef AMARANTH_TESTS_INTEGRATION_FLEETCALLER_H
#define AMARANTH_TESTS_INTEGRATION_FLEETCALLER_H

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace amaranth::integration {

/// What a caller was told about one request.
struct FleetAnswer {
  bool Ok_ = false; ///< A complete answer arrived.
  int Status_ = 0;  ///< Of the last reply; 0 if none arrived.
  nlohmann::json Body_;
  std::string Text_;         ///< Tokens of a stream.
  std::string Address_;      ///< Entry host that answered.
  int FailedAttempts_ = 0;   ///< Entry hosts tried before it in vain.
  std::string FirstFailure_; ///< What the first of them did.
  SteadyTime LastSentAt_;    ///< Start of the last attempt.
};

/// Asks for entry hosts, keeps the answer for the time it names, uses the first
/// address and the next one if that fails. Not thread-safe.
class FleetCaller final {
public:
  FleetCaller(std::vector<std::string> Addresses, std::string Key);

  FleetAnswer lookUp(const std::string &Service, const std::string &Id);
  /// A non-idempotent call under a key with the ticket of the kept answer.
  FleetAnswer place(const std::string &Service, const std::string &OrderId);
  /// A streamed pipeline request; Ok_ only if its end event agrees with the
  /// tokens.
  FleetAnswer stream(const std::string &Service, const std::string &Input,
                     int MaxTokens);

  /// Asks at once whether kept answer is still valid or not.
  bool refreshEntryHosts(bool NeedTicket = false);
  /// Puts \p Address first among the kept entry hosts.
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

  std::vector<std::string> SeedAddresses_; ///< Where to ask for entry hosts.
  std::string Key_;
  transport::HttpClient Client_{{}};
  std::vector<std::string> EntryHosts_; ///< Of the kept answer, ranked.
  std::string Ticket_;
  SteadyTime ValidUntil_{};
};

} // namespace amaranth::integration

#endif
