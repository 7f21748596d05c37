#include "Standin/DeterministicRetrieval.h"

#include "Support/Digest.h"

namespace amaranth::standin {

namespace {

constexpr int Dimensions = 8;
constexpr std::size_t MarkLength = 12;

/// A number in [0, 1) with 16 bits, so that JSON keeps it exactly.
double fractionOf(const std::string &Text) {
  constexpr double Range = 65536.0;
  return static_cast<double>(sha256Prefix(Text) & 0xffff) / Range;
}

} // namespace

std::vector<double> embeddingOf(std::string_view Input) {
  std::string Digest = sha256Hex(Input);
  std::vector<double> Embedding;
  for (int I = 0; I < Dimensions; ++I)
    Embedding.push_back(fractionOf(Digest + std::to_string(I)));
  return Embedding;
}

std::vector<FoundDocument> documentsFor(const std::vector<double> &Embedding,
                                        int TopK) {
  std::string Joined;
  for (double Value : Embedding)
    Joined += std::to_string(Value) + ",";
  std::string Mark = sha256Hex(Joined).substr(0, MarkLength);
  std::vector<FoundDocument> Documents;
  for (int Rank = 0; Rank < TopK; ++Rank) {
    std::string Number = std::to_string(Rank);
    Documents.push_back({"doc-" + Mark + "-" + Number,
                         "document " + Number + " for " + Mark,
                         1.0 / (1.0 + Rank)});
  }
  return Documents;
}

double relevanceOf(std::string_view Query, std::string_view Document) {
  return fractionOf(sha256Hex(Query) + sha256Hex(Document));
}

} // namespace amaranth::standin
