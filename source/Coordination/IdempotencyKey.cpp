#include "Coordination/IdempotencyKey.h"

#include "Support/Digest.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

constexpr std::size_t IdentitySize = 64; ///< Characters of a SHA-256 in hex.

bool hasAllowedCharacters(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '.' || C == '_' || C == '~';
  });
}

/// Prefixes each field with its length, so that different lists of fields have
/// different texts.
std::string joinFields(std::initializer_list<std::string_view> Fields) {
  std::string Joined;
  for (std::string_view Field : Fields) {
    Joined += std::to_string(Field.size());
    Joined += ':';
    Joined += Field;
  }
  return Joined;
}

} // namespace

Result<IdempotencyKey> IdempotencyKey::parse(std::string_view Text,
                                             const TicketAuthority &Authority) {
  if (Text.empty() || Text.size() > MaxSize)
    return fail(ErrorCode::InvalidArgument, "an idempotency key has 1 to " +
                                                std::to_string(MaxSize) +
                                                " characters");
  if (!hasAllowedCharacters(Text))
    return fail(ErrorCode::InvalidArgument,
                "an idempotency key consists of letters, digits, '-', '.', "
                "'_' and '~'");
  IdempotencyKey Key;
  Key.Text_ = Text;
  if (!TicketAuthority::looksLikeTicket(Text))
    return Key;
  std::size_t Dot = Text.find('.');
  BOOST_LEAF_AUTO(CheckedTicket, Authority.check(Text.substr(0, Dot)));
  if (Dot == std::string_view::npos || Dot + 1 == Text.size())
    return fail(ErrorCode::InvalidArgument,
                "a ticket is followed by '.' and a suffix");
  if (Text.size() - Dot - 1 > MaxSuffixSize)
    return fail(ErrorCode::InvalidArgument,
                "the suffix after a ticket has at most " +
                    std::to_string(MaxSuffixSize) + " characters");
  Key.Ticket_ = std::move(CheckedTicket);
  return Key;
}

std::string requestIdentity(std::string_view Service, std::string_view Account,
                            std::string_view Key) {
  return sha256Hex(joinFields({Service, Account, Key}));
}

std::string contentDigest(const protocol::ForwardedRequest &Request) {
  return sha256Hex(joinFields({Request.Call_, Request.Body_}));
}

std::string toText(const ScopedKey &Key) {
  return Key.Identity_ + '/' + Key.Key_;
}

Result<ScopedKey> parseScopedKey(std::string_view Text) {
  if (Text.size() <= IdentitySize || Text[IdentitySize] != '/')
    return fail(ErrorCode::InvalidArgument, "malformed scoped key");
  ScopedKey Key;
  Key.Identity_ = Text.substr(0, IdentitySize);
  Key.Key_ = Text.substr(IdentitySize + 1);
  return Key;
}

} // namespace amaranth::coordination
