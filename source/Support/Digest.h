/// \file
/// Digests, message authentication and encodings, implemented by OpenSSL
/// libcrypto.
#ifndef AMARANTH_SUPPORT_DIGEST_H
#define AMARANTH_SUPPORT_DIGEST_H

#include "Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranth {

/// SHA-256 of \p Data as 64 lower-case hex characters.
std::string sha256Hex(std::string_view Data);

/// First 64 bits of SHA-256 of \p Data as a big-endian number, for hash rings
/// and sampling.
std::uint64_t sha256Prefix(std::string_view Data);

/// HMAC-SHA-256 of \p Data under \p Key as 64 lower-case hex characters.
std::string hmacSha256Hex(std::string_view Key, std::string_view Data);

/// Compares two strings in time that depends only on their lengths, so that the
/// time does not reveal how much of a secret matches.
bool equalsConstantTime(std::string_view Left, std::string_view Right);

/// Standard base64 with padding.
std::string base64Encode(std::string_view Data);

/// Decodes standard base64; InvalidArgument on malformed input.
Result<std::string> base64Decode(std::string_view Text);

/// \p Bytes random bytes from the operating system as lower-case hex.
std::string randomHex(std::size_t Bytes);

} // namespace amaranth

#endif
