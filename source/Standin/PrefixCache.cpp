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

int PrefixCache::admit(std::string_view Prompt) {
  std::lock_guard Lock(Mutex_);
  int CachedBlocks = 0;
  bool Contiguous = true;
  std::uint64_t Chain = 0;
  for (std::size_t At = 0; At + BytesPerBlock <= Prompt.size();
       At += BytesPerBlock) {
    // A block's identity covers all text before it.
    Chain = sha256Prefix(std::to_string(Chain) +
                         std::string(Prompt.substr(At, BytesPerBlock)));
    Contiguous = touch(Chain) && Contiguous;
    if (Contiguous)
      ++CachedBlocks;
  }
  return CachedBlocks * TokensPerBlock;
}

/// Makes \p Block the most recently used; true if it was cached.
bool PrefixCache::touch(std::uint64_t Block) {
  auto Known = Blocks_.find(Block);
  if (Known != Blocks_.end()) {
    Order_.splice(Order_.begin(), Order_, Known->second);
    return true;
  }
  if (CapacityBlocks_ == 0)
    return false;
  if (Order_.size() >= CapacityBlocks_) {
    Blocks_.erase(Order_.back());
    Order_.pop_back();
  }
  Order_.push_front(Block);
  Blocks_[Block] = Order_.begin();
  return false;
}

} // namespace amaranth::standin
