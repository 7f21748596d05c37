/// \file
/// Tickets that bind an idempotency key to its home.
#ifndef AMARANTH_COORDINATION_TICKETAUTHORITY_H
#define AMARANTH_COORDINATION_TICKETAUTHORITY_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranth::coordination {

/// Where the home records the requests of a ticket.
enum class TicketClass : std::uint8_t {
  Journaled, ///< In the key-value service, before dispatch.
  Volatile,  ///< Only in the home's memory.
};

/// The content of a ticket.
struct Ticket {
  std::string Host_; ///< The home.
  std::uint64_t Incarnation_ = 0;
  TicketClass Class_ = TicketClass::Journaled;
  std::string Nonce_; ///< Starts with the instance() of its maker.
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

/// Makes and checks tickets. A ticket is text of URL-safe characters,
/// `t1~<content>~<mac>`. Thread-safe.
class TicketAuthority final {
public:
  /// Longest host name that fits in a ticket, in characters.
  static constexpr std::size_t MaxHostSize = 64;

  explicit TicketAuthority(TicketAuthoritySettings Settings);

  /// Makes a ticket of this host. InvalidArgument if the host name has
  /// characters other than letters, digits, '.', '_' and '-', or is too long.
  Result<std::string> issue(std::uint64_t Incarnation, TicketClass Class) const;

  /// Reads \p Text. Unauthenticated if it was not made under the fleet secret.
  /// The expiry is not checked: only the home can do that.
  Result<Ticket> check(std::string_view Text) const;

  /// True if this process made \p Issued. Incarnations alone do not tell
  /// processes of one host apart when its clock was set back.
  bool isIssuedHere(const Ticket &Candidate) const;

  /// Random text that names this process.
  const std::string &instance() const { return Instance_; }

  /// True if \p Text has the form of a ticket, valid or not.
  static bool looksLikeTicket(std::string_view Text);

  /// The ticket clock: milliseconds since the epoch at the start of the
  /// process, advanced by the monotonic clock, so that a step of the wall
  /// clock neither revives nor ends a ticket.
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
