/// \file
/// The answers of pool stand-ins (embeddings, documents and scores). Tests
/// include this file to compute the expected answer to an input.
#ifndef AMARANTH_STANDIN_DETERMINISTICRETRIEVAL_H
#define AMARANTH_STANDIN_DETERMINISTICRETRIEVAL_H

#include <string>
#include <string_view>
#include <vector>

namespace amaranth::standin {

/// A document that a retriever returns.
struct FoundDocument {
  std::string Id_;
  std::string Text_;
  double Score_ = 0;
};

/// The embedding of \p Input: eight numbers in [0, 1).
std::vector<double> embeddingOf(std::string_view Input);

/// The \p TopK highest-scoring documents for \p Embedding, best first. Ids and
/// texts contain the first 12 hex characters of the embedding's digest, so
/// that an answer can be matched to its request.
std::vector<FoundDocument> documentsFor(const std::vector<double> &Embedding,
                                        int TopK);

/// The score of \p Document for \p Query, in [0, 1).
double relevanceOf(std::string_view Query, std::string_view Document);

} // namespace amaranth::standin

#endif
