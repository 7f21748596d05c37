/// \file
/// Tickets that bind an idempotency key to its home, the daemon incarnation
/// that alone may run requests with that key.
#ifndef AMARANTH_COORDINATION_TICKETAUTHORITY_H
#define AMARANTH_COORDINATION_TICKETAUTHORITY_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranth::coordination {

/// Where the home records requests whose keys contain the ticket.
enum class TicketClass : std::uint8_t {
  Journaled, ///< In its journal in the key-value service, before dispatch.
  Volatile,  ///< Only in the home's memory.
};

/// The content of a ticket.
struct Ticket {
  std::string Host_; ///< The home.
  std::uint64_t Incarnation_ = 0;
  TicketClass Class_ = TicketClass::Journaled;
  std::string Nonce_; ///< Starts with the instance() of its issuer.
  /// On the home's ticket clock; never compared with another host's clock.
  Milliseconds Expiry_{0};
};

/// Settings of TicketAuthority.
struct TicketAuthoritySettings {
  std::string Host_;        ///< Name of this host.
  std::string FleetSecret_; ///< Shared by all daemons.
  Milliseconds Lifetime_{600000};
  /// Replaces the ticket clock in tests.
  std::function<Milliseconds()> Clock_;
};

/// Issues and verifies tickets. A ticket is the text `t1~<content>~<mac>` of
/// URL-safe characters. Thread-safe.
class TicketAuthority final {
public:
  /// Longest host name that fits in a ticket, in characters.
  static constexpr std::size_t MaxHostSize = 64;

  explicit TicketAuthority(TicketAuthoritySettings Settings);

  /// Issues a ticket of this host. Fails with InvalidArgument if the host name
  /// has characters other than letters, digits, '.', '_' and '-', or is longer
  /// than MaxHostSize.
  Result<std::string> issue(std::uint64_t Incarnation, TicketClass Class) const;

  /// Verifies and parses \p Text. Fails with Unauthenticated if the MAC does
  /// not match the fleet secret. Does not check the expiry: only the home can.
  Result<Ticket> check(std::string_view Text) const;

  /// True if this process issued \p Candidate. After the clock was set back,
  /// incarnations alone do not distinguish processes of one host.
  bool isIssuedHere(const Ticket &Candidate) const;

  /// Random text that identifies this process.
  const std::string &instance() const { return Instance_; }

  /// True if \p Text has the form of a ticket, valid or not.
  static bool looksLikeTicket(std::string_view Text);

  /// The ticket clock: the wall-clock time at the start of the process, in
  /// milliseconds since the epoch, advanced by the monotonic clock. A step of
  /// the wall clock thus neither expires nor revives a ticket.
  Milliseconds now() const;

  Milliseconds lifetime() const { return Settings_.Lifetime_; }

private:
  std::string mac(std::string_view Content) const;

  TicketAuthoritySettings Settings_;
  std::string Instance_;
  std::string Key_; ///< Derived from the fleet secret for tickets alone.
  Milliseconds WallStart_;
  SteadyTime SteadyStart_;
};

} // namespace amaranth::coordination

#endif
