#include "Coordination/Engines/EngineChooser.h"

#include <algorithm>
#include <limits>

namespace amaranth::coordination {

using protocol::PromptPart;
using state::TargetRecord;

std::uint64_t rendezvousRank(const std::string &Key,
                             const std::string &Candidate) {
  // FNV-1a with a final mix: all hosts must compute the same value.
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  auto HashText = [&](const std::string &Text) {
    for (unsigned char C : Text)
      Hash = (Hash ^ C) * 0x100000001b3ULL;
    Hash = (Hash ^ 0xff) * 0x100000001b3ULL;
  };
  HashText(Key);
  HashText(Candidate);
  Hash ^= Hash >> 32;
  Hash *= 0xd6e8feb86659fd93ULL;
  Hash ^= Hash >> 32;
  return Hash;
}

EngineChooser::EngineChooser(EngineChooserSettings Settings)
    : Settings_(Settings) {}

namespace {

/// The last part that other requests may share; the part after it belongs to
/// this request alone.
const PromptPart *lastSharedPart(const std::vector<PromptPart> &Prompt) {
  if (Prompt.size() >= 2)
    return &Prompt[Prompt.size() - 2];
  return Prompt.empty() ? nullptr : &Prompt.front();
}

/// Share of the bytes of stage results that are not in \p DataCentre.
double remoteShare(const std::map<std::string, std::uint64_t> &InputBytes,
                   const std::string &DataCentre) {
  double All = 0;
  double Remote = 0;
  for (const auto &[Place, Bytes] : InputBytes) {
    All += static_cast<double>(Bytes);
    if (Place != DataCentre)
      Remote += static_cast<double>(Bytes);
  }
  return All > 0 ? Remote / All : 0;
}

double totalTokens(const std::vector<PromptPart> &Prompt) {
  double Tokens = 0;
  for (const PromptPart &Part : Prompt)
    Tokens += static_cast<double>(Part.Tokens_);
  return Tokens;
}

} // namespace

bool EngineChooser::isLarge(const std::vector<PromptPart> &Prompt) const {
  return totalTokens(Prompt) >= AverageTokens_;
}

double
EngineChooser::relativeSize(const std::vector<PromptPart> &Prompt) const {
  return AverageTokens_ > 0 ? totalTokens(Prompt) / AverageTokens_ : 1;
}

double EngineChooser::uncachedTokens(const TargetRecord &Engine,
                                     bool IsPreferred,
                                     const std::vector<PromptPart> &Prompt,
                                     SteadyTime Now) const {
  double Tokens = 0;
  for (std::size_t I = 0; I < Prompt.size(); ++I) {
    bool IsCached = IsPreferred && I + 1 < Prompt.size();
    auto Found = LastUses_.find(Prompt[I].Id_);
    if (!IsCached && Found != LastUses_.end()) {
      auto LastUse = Found->second.find(Engine.Id_);
      IsCached = LastUse != Found->second.end() &&
                 Now - LastUse->second < Settings_.PartLifetime_;
    }
    // A cached part is of use only if all parts before it are cached too.
    if (!IsCached) {
      for (; I < Prompt.size(); ++I)
        Tokens += static_cast<double>(Prompt[I].Tokens_);
      break;
    }
  }
  return Tokens;
}

const TargetRecord *EngineChooser::choose(
    const std::vector<const TargetRecord *> &Engines, const EngineQuery &Query,
    const std::set<std::string> &Excluded, const TargetHealth &Health,
    const EngineMemory &Memory, SteadyTime Now) const {
  const std::vector<PromptPart> &Prompt = Query.Prompt_;
  const PromptPart *Shared = lastSharedPart(Prompt);
  const TargetRecord *Preferred = nullptr;
  std::uint64_t PreferredRank = 0;
  for (const TargetRecord *Engine : Engines) {
    if (!Shared || !Health.isUsable(Engine->Id_, Now) ||
        Excluded.count(Engine->Id_))
      continue;
    std::uint64_t Rank = rendezvousRank(Shared->Id_, Engine->Id_);
    if (!Preferred || Rank > PreferredRank) {
      Preferred = Engine;
      PreferredRank = Rank;
    }
  }
  const TargetRecord *BestEngine = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (const TargetRecord *Engine : Engines) {
    if (!Memory.fits(Engine->Id_, Query.Demand_, Query.MemoryTokens_, Now))
      continue;
    double Requests =
        static_cast<double>(Health.inFlight(Engine->Id_)) +
        static_cast<double>(Memory.peerRequests(Engine->Id_, Now));
    double Cost = uncachedTokens(*Engine, Engine == Preferred, Prompt, Now);
    Cost += Settings_.TokensPerRequest_ * Requests;
    Cost += Settings_.RemoteInputTokens_ *
            remoteShare(Query.InputBytes_, Engine->DataCentre_);
    Cost += Settings_.FailureTokens_ * Health.failureShare(Engine->Id_, Now);
    bool LastResort =
        Excluded.count(Engine->Id_) || !Health.isUsable(Engine->Id_, Now);
    if (LastResort)
      Cost += 1e9;
    if (Cost < BestCost) {
      BestEngine = Engine;
      BestCost = Cost;
    }
  }
  return BestEngine;
}

void EngineChooser::onPromptSent(const std::string &EngineId,
                                 const std::vector<PromptPart> &Prompt,
                                 SteadyTime Now) {
  if (LastUses_.size() > Settings_.MaxParts_)
    removeExpiredParts(Now);
  for (const PromptPart &Part : Prompt)
    LastUses_[Part.Id_][EngineId] = Now;
  double Weight = AverageTokens_ > 0 ? Settings_.SizeWeight_ : 1;
  AverageTokens_ += Weight * (totalTokens(Prompt) - AverageTokens_);
}

void EngineChooser::removeExpiredParts(SteadyTime Now) {
  for (auto Part = LastUses_.begin(); Part != LastUses_.end();) {
    std::erase_if(Part->second, [&](const auto &Use) {
      return Now - Use.second >= Settings_.PartLifetime_;
    });
    Part = Part->second.empty() ? LastUses_.erase(Part) : std::next(Part);
  }
}

void EngineChooser::onEngineRemoved(const std::string &EngineId) {
  for (auto &[Part, Uses] : LastUses_)
    Uses.erase(EngineId);
}

} // namespace amaranth::coordination
