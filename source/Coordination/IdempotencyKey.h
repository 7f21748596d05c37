/// \file
/// Idempotency keys and the identity of a keyed request.
#ifndef AMARANTH_COORDINATION_IDEMPOTENCYKEY_H
#define AMARANTH_COORDINATION_IDEMPOTENCYKEY_H

#include "Coordination/TicketAuthority.h"
#include "Protocol/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::coordination {

/// A checked idempotency key: `<ticket>.<suffix>`, or a plain key of the
/// caller's choice. Letters, digits, '-', '.', '_' and '~' are allowed, since
/// keys appear in URLs and headers.
class IdempotencyKey final {
public:
  static constexpr std::size_t MaxSize = 320;      ///< Characters.
  static constexpr std::size_t MaxSuffixSize = 96; ///< Characters.

  /// Reads \p Text. InvalidArgument if its length or characters are not
  /// allowed; every daemon refuses such a key alike. Unauthenticated if it has
  /// the form of a ticket that this fleet secret did not make: it is not taken
  /// for a plain key, because a daemon with another secret may accept it.
  static Result<IdempotencyKey> parse(std::string_view Text,
                                      const TicketAuthority &Authority);

  const std::string &text() const { return Text_; }
  /// The ticket; none for a plain key.
  const std::optional<Ticket> &ticket() const { return Ticket_; }

private:
  std::string Text_;
  std::optional<Ticket> Ticket_;
};

/// Identity of a keyed request: a digest of account, service and key, so that
/// accounts can neither share nor read each other's keys.
std::string requestIdentity(std::string_view Service, std::string_view Account,
                            std::string_view Key);

/// Digest of what a request asks for; a key used again with another digest is
/// a conflict.
std::string contentDigest(const protocol::ForwardedRequest &Request);

/// A key with the identity it is looked up by, as sent to PeerNetwork::lookUp.
struct ScopedKey {
  std::string Identity_;
  std::string Key_;
};

/// Text `<identity>/<key>`.
std::string toText(const ScopedKey &Key);

/// Reads what toText() wrote; InvalidArgument on anything else.
Result<ScopedKey> parseScopedKey(std::string_view Text);

} // namespace amaranth::coordination

#endif
