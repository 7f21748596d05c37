#include "Support/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace amaranth {

namespace {

constexpr std::size_t Sha256Bytes = 32;
using Sha256 = std::array<unsigned char, Sha256Bytes>;

std::string toHex(const unsigned char *Bytes, std::size_t Size) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Text.push_back(Digits[Bytes[I] >> 4]);
    Text.push_back(Digits[Bytes[I] & 0x0f]);
  }
  return Text;
}

Sha256 sha256(std::string_view Data) {
  Sha256 Digest{};
  unsigned Size = 0;
  int Ok = EVP_Digest(Data.data(), Data.size(), Digest.data(), &Size,
                      EVP_sha256(), nullptr);
  assert(Ok == 1 && Size == Sha256Bytes);
  (void)Ok;
  return Digest;
}

const unsigned char *bytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

} // namespace

std::string sha256Hex(std::string_view Data) {
  Sha256 Digest = sha256(Data);
  return toHex(Digest.data(), Digest.size());
}

std::uint64_t sha256Prefix(std::string_view Data) {
  Sha256 Digest = sha256(Data);
  std::uint64_t Prefix = 0;
  for (std::size_t I = 0; I < sizeof(Prefix); ++I)
    Prefix = (Prefix << 8) | Digest[I];
  return Prefix;
}

std::string hmacSha256Hex(std::string_view Key, std::string_view Data) {
  Sha256 Mac{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytes(Data),
       Data.size(), Mac.data(), &Size);
  assert(Size == Sha256Bytes);
  return toHex(Mac.data(), Mac.size());
}

bool equalsConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string base64Encode(std::string_view Data) {
  std::string Text(4 * ((Data.size() + 2) / 3) + 1, '\0');
  int Size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                             bytes(Data), static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

Result<std::string> base64Decode(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % 4 != 0)
    return fail(ErrorCode::InvalidArgument,
                "base64 length is not a multiple of 4");
  std::vector<unsigned char> Data(Text.size() / 4 * 3);
  int Size =
      EVP_DecodeBlock(Data.data(), bytes(Text), static_cast<int>(Text.size()));
  if (Size < 0)
    return fail(ErrorCode::InvalidArgument, "malformed base64");
  // The size from EVP_DecodeBlock includes one zero byte per padding character.
  std::size_t Padding = 0;
  if (Text.ends_with("=="))
    Padding = 2;
  else if (Text.ends_with("="))
    Padding = 1;
  return std::string(reinterpret_cast<const char *>(Data.data()),
                     static_cast<std::size_t>(Size) - Padding);
}

std::string randomHex(std::size_t Bytes) {
  std::vector<unsigned char> Data(Bytes);
  int Ok = RAND_bytes(Data.data(), static_cast<int>(Bytes));
  assert(Ok == 1);
  (void)Ok;
  return toHex(Data.data(), Data.size());
}

} // namespace amaranth
