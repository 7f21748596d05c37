#include "State/TextRule.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace amaranth::state {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxModelBytes = 128;
constexpr std::size_t DigestCharacters = 64;
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 1024;

bool isLetterOrDigit(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9');
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes || !isLetterOrDigit(Text[0]))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isLetterOrDigit(C) || C == '-' || C == '_' || C == '.';
  });
}

bool isModel(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxModelBytes)
    return false;
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

bool isIpAddress(std::string_view Text) {
  std::string Host(Text);
  // inet_pton() would ignore the text after a null byte.
  if (Host.find('\0') != std::string::npos)
    return false;
  in6_addr Parsed;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     &Parsed) == 1;
  return inet_pton(AF_INET, Host.c_str(), &Parsed) == 1;
}

bool isPort(std::string_view Text, unsigned Minimum) {
  constexpr unsigned MaxPort = 65535;
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  auto [ParseEnd, Error] = std::from_chars(Text.data(), End, Port);
  if (Error != std::errc() || ParseEnd != End)
    return false;
  return Port >= Minimum && Port <= MaxPort;
}

bool isSocketAddress(std::string_view Text, unsigned MinPort) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  return isIpAddress(Text.substr(0, Colon)) &&
         isPort(Text.substr(Colon + 1), MinPort);
}

bool isAddress(std::string_view Text) { return isSocketAddress(Text, 1); }

bool isOptionalAddress(std::string_view Text) {
  return Text.empty() || isAddress(Text);
}

bool isListenAddress(std::string_view Text) { return isSocketAddress(Text, 0); }

bool isDigest(std::string_view Text) {
  if (Text.size() != DigestCharacters)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f') ||
           (C >= 'A' && C <= 'F');
  });
}

bool isSecret(std::string_view Text) {
  return Text.size() >= MinSecretBytes && Text.size() <= MaxSecretBytes;
}

} // namespace

const TextRule NameRule = {
    isName, "1 to 64 letters, digits, '-', '_' or '.', the first one a letter "
            "or digit"};
const TextRule ModelRule = {isModel,
                            "1 to 128 printable ASCII characters, no spaces"};
const TextRule AddressRule = {isAddress,
                              "IP:port (IPv4 or [IPv6]), port 1 to 65535"};
const TextRule OptionalAddressRule = {
    isOptionalAddress, "IP:port (IPv4 or [IPv6]), port 1 to 65535, or empty"};
const TextRule ListenAddressRule = {
    isListenAddress, "IP:port (IPv4 or [IPv6]), port 0 to 65535"};
const TextRule DigestRule = {isDigest, "SHA-256 as 64 hex characters", true};
const TextRule SecretRule = {isSecret, "16 to 1024 bytes", true};

} // namespace amaranth::state
