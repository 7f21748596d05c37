/// \file
/// The prompt prefix cache of an engine stand-in.
#ifndef AMARANTH_STANDIN_PREFIXCACHE_H
#define AMARANTH_STANDIN_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace amaranth::standin {

/// Number of tokens of a prompt: one for every four bytes, rounded up.
int promptTokens(std::string_view Prompt);

/// Records which prompt prefixes have been computed, in blocks of 16 tokens,
/// with least-recently-used eviction. Thread-safe.
class PrefixCache final {
public:
  /// Holds up to \p CapacityTokens tokens.
  explicit PrefixCache(int CapacityTokens);

  /// Returns how many leading tokens of \p Prompt are cached, then caches all
  /// full blocks of the prompt.
  int lookUpAndInsert(std::string_view Prompt);

private:
  using RecencyList = std::list<std::uint64_t>; ///< Most recently used first.

  bool touch(std::uint64_t Block);

  std::size_t CapacityBlocks_;
  std::mutex Mutex_;
  RecencyList Recency_;
  std::unordered_map<std::uint64_t, RecencyList::iterator> Blocks_;
};

} // namespace amaranth::standin

#endif
