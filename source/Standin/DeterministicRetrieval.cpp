#include "Standin/DeterministicRetrieval.h"

#include "Support/Digest.h"

namespace amaranth::standin {

namespace {

constexpr int Dimensions = 8;
constexpr std::size_t DigestPrefixLength = 12;

/// Maps the hash of \p Text to [0, 1). The value has 16 bits, so that it
/// survives a round trip through JSON unchanged.
double hashToFraction(const std::string &Text) {
  constexpr double Range = 65536.0;
  return static_cast<double>(sha256Prefix(Text) & 0xffff) / Range;
}

} // namespace

std::vector<double> embeddingOf(std::string_view Input) {
  std::string Digest = sha256Hex(Input);
  std::vector<double> Embedding;
  for (int I = 0; I < Dimensions; ++I)
    Embedding.push_back(hashToFraction(Digest + std::to_string(I)));
  return Embedding;
}

std::vector<FoundDocument> documentsFor(const std::vector<double> &Embedding,
                                        int TopK) {
  std::string JoinedValues;
  for (double Value : Embedding)
    JoinedValues += std::to_string(Value) + ",";
  std::string DigestPrefix =
      sha256Hex(JoinedValues).substr(0, DigestPrefixLength);
  std::vector<FoundDocument> Documents;
  for (int Rank = 0; Rank < TopK; ++Rank) {
    std::string RankText = std::to_string(Rank);
    Documents.push_back({"doc-" + DigestPrefix + "-" + RankText,
                         "document " + RankText + " for " + DigestPrefix,
                         1.0 / (1.0 + Rank)});
  }
  return Documents;
}

double relevanceOf(std::string_view Query, std::string_view Document) {
  return hashToFraction(sha256Hex(Query) + sha256Hex(Document));
}

} // namespace amaranth::standin
