/// \file
/// A caller that places non-idempotent orders.
#ifndef AMARANTH_TESTS_INTEGRATION_ORDERCALLER_H
#define AMARANTH_TESTS_INTEGRATION_ORDERCALLER_H

#include "Support/Time.h"

#include <nlohmann/json.hpp>

#include <string>

namespace amaranth::integration {

/// One answer that a caller received.
struct OrderAnswer {
  int Status_ = 0; ///< 0 if no complete reply arrived.
  /// "completed", "not_run", "unknown", "failed" or "no_reply".
  std::string Outcome_ = "no_reply";
  std::string RetryWith_;
  nlohmann::json Body_;

  bool isFinal() const {
    return Outcome_ == "completed" || Outcome_ == "not_run" ||
           Outcome_ == "failed";
  }
};

/// A ticket of GET /v1/entry-hosts.
struct OrderTicket {
  std::string Text_;  ///< Empty if none was issued.
  std::string Class_; ///< "journaled" or "volatile".
  /// Caller address of its home: the daemon that alone may run requests whose
  /// key contains the ticket.
  std::string Home_;
};

/// One order to place.
struct Order {
  std::string Id_;  ///< Unique within a test.
  std::string Key_; ///< Idempotency key.
  Milliseconds Timeout_{10000};
  /// The caller closes the connection after this time without an answer.
  Milliseconds DisconnectAfter_{20000};
};

/// Calls entry hosts as docs/api.md prescribes, each time on a new connection.
/// Thread-safe.
class OrderCaller final {
public:
  explicit OrderCaller(std::string Service = "orders",
                       std::string Account = "alpha")
      : Service_(std::move(Service)), Account_(std::move(Account)) {}

  OrderTicket requestTicket(const std::string &Host) const;

  /// Sends the request once.
  OrderAnswer place(const std::string &Host, const Order &Placed) const;

  /// Returns the recorded outcome of a key, or "no_reply".
  std::string lookUpOutcome(const std::string &Host,
                            const std::string &Key) const;

private:
  std::string Service_;
  std::string Account_;
};

/// Sends an order to a target, bypassing the entry hosts. Returns the HTTP
/// status, or 0 without a reply.
int placeDirectly(const std::string &Target, const std::string &OrderId,
                  Milliseconds Timeout);

} // namespace amaranth::integration

#endif
