#include "Standin/PrefixCache.h"

#include "Support/Digest.h"

#include <string>

namespace amaranth::standin {

namespace {

constexpr int BytesPerToken = 4;
constexpr int TokensPerBlock = 16;
constexpr std::size_t BytesPerBlock = BytesPerToken * TokensPerBlock;

} // namespace

int promptTokens(std::string_view Prompt) {
  return static_cast<int>((Prompt.size() + BytesPerToken - 1) / BytesPerToken);
}

PrefixCache::PrefixCache(int CapacityTokens)
    : CapacityBlocks_(static_cast<std::size_t>(CapacityTokens) /
                      TokensPerBlock) {}

int PrefixCache::lookUpAndInsert(std::string_view Prompt) {
  std::lock_guard Lock(Mutex_);
  int CachedBlocks = 0;
  bool PrefixCached = true;
  std::uint64_t BlockHash = 0;
  for (std::size_t Offset = 0; Offset + BytesPerBlock <= Prompt.size();
       Offset += BytesPerBlock) {
    // The hash covers all text up to the end of the block, so that a block
    // matches only after the same prefix.
    BlockHash = sha256Prefix(std::to_string(BlockHash) +
                             std::string(Prompt.substr(Offset, BytesPerBlock)));
    PrefixCached = touch(BlockHash) && PrefixCached;
    if (PrefixCached)
      ++CachedBlocks;
  }
  return CachedBlocks * TokensPerBlock;
}

/// Makes \p Block the most recently used one, and inserts it if absent; true
/// if it was cached.
bool PrefixCache::touch(std::uint64_t Block) {
  auto Cached = Blocks_.find(Block);
  if (Cached != Blocks_.end()) {
    Recency_.splice(Recency_.begin(), Recency_, Cached->second);
    return true;
  }
  if (CapacityBlocks_ == 0)
    return false;
  if (Recency_.size() >= CapacityBlocks_) {
    Blocks_.erase(Recency_.back());
    Recency_.pop_back();
  }
  Recency_.push_front(Block);
  Blocks_[Block] = Recency_.begin();
  return false;
}

} // namespace amaranth::standin
