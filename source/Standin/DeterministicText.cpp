#include "Standin/DeterministicText.h"

#include "Support/Digest.h"

#include <array>

namespace amaranth::standin {

namespace {

constexpr std::size_t DigestPrefixLength = 12;

constexpr std::array<const char *, 16> Words = {
    "amber", "birch",   "cedar",  "delta", "ember", "field", "grove", "harbor",
    "iris",  "juniper", "kernel", "linen", "maple", "north", "olive", "pearl"};

} // namespace

DeterministicText::DeterministicText(std::string_view Prompt)
    : PromptDigest_(sha256Hex(Prompt)) {}

std::string DeterministicText::token(int Index) const {
  if (Index == 0)
    return PromptDigest_.substr(0, DigestPrefixLength);
  std::uint64_t Hash = sha256Prefix(PromptDigest_ + std::to_string(Index));
  return std::string(" ") + Words[Hash % Words.size()];
}

std::string DeterministicText::text(int Count) const {
  std::string Text;
  for (int Index = 0; Index < Count; ++Index)
    Text += token(Index);
  return Text;
}

} // namespace amaranth::standin
