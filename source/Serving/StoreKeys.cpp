#include "Serving/StoreKeys.h"

#include "Support/Digest.h"

#include <algorithm>

namespace amaranth::serving {

namespace {

bool isLetterOrDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z');
}

} // namespace

std::string storeKeyPart(const std::string &Name) {
  // The store takes keys of 200 bytes, which two parts have to fit in.
  constexpr std::size_t MaxLength = 80;
  constexpr std::size_t DigestLength = 32;
  bool IsValid =
      !Name.empty() && Name.size() <= MaxLength && isLetterOrDigit(Name[0]) &&
      std::all_of(Name.begin(), Name.end(), [](char C) {
        return isLetterOrDigit(C) || C == '.' || C == '_' || C == '-';
      });
  return IsValid ? Name : "-" + sha256Hex(Name).substr(0, DigestLength);
}

} // namespace amaranth::serving
