/// \file
/// Idempotency keys and the identities of requests that have one.
#ifndef AMARANTH_COORDINATION_IDEMPOTENCYKEY_H
#define AMARANTH_COORDINATION_IDEMPOTENCYKEY_H

#include "Coordination/TicketAuthority.h"
#include "Protocol/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::coordination {

/// A validated idempotency key: `<ticket>.<suffix>`, or a plain key that the
/// caller chose. Allowed are letters, digits, '-', '.', '_' and '~', since keys
/// appear in URLs and headers. A ticket names the home: the daemon incarnation
/// that alone may run requests with this key.
class IdempotencyKey final {
public:
  static constexpr std::size_t MaxSize = 320;      ///< Characters.
  static constexpr std::size_t MaxSuffixSize = 96; ///< Characters.

  /// Parses \p Text. Fails with InvalidArgument if its length or characters are
  /// not allowed; every daemon refuses such a key. Fails with Unauthenticated
  /// if it has the form of a ticket but no valid MAC under this fleet secret.
  /// Such a key is not treated as plain, because a daemon with another secret
  /// may accept the ticket.
  static Result<IdempotencyKey> parse(std::string_view Text,
                                      const TicketAuthority &Authority);

  const std::string &text() const { return Text_; }
  /// The ticket; nullopt for a plain key.
  const std::optional<Ticket> &ticket() const { return Ticket_; }

private:
  std::string Text_;
  std::optional<Ticket> Ticket_;
};

/// Identity of a request with a key: a digest of service, account and key, so
/// that accounts can neither share nor read each other's keys.
std::string requestIdentity(std::string_view Service, std::string_view Account,
                            std::string_view Key);

/// Digest of the call and the body of a request. Using a key again with another
/// digest is a conflict.
std::string contentDigest(const protocol::ForwardedRequest &Request);

/// A key with its request identity, as passed to PeerNetwork::lookUp().
struct ScopedKey {
  std::string Identity_;
  std::string Key_;
};

/// Text `<identity>/<key>`.
std::string toText(const ScopedKey &Key);

/// Inverse of toText(); fails with InvalidArgument on malformed text.
Result<ScopedKey> parseScopedKey(std::string_view Text);

} // namespace amaranth::coordination

#endif
