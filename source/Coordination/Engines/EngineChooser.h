/// \file
/// Choice of a model engine for a prompt.
#ifndef AMARANTH_COORDINATION_ENGINES_ENGINECHOOSER_H
#define AMARANTH_COORDINATION_ENGINES_ENGINECHOOSER_H

#include "Coordination/Engines/EngineMemory.h"
#include "Coordination/Targets/TargetHealth.h"
#include "Protocol/EdgeProtocol.h"
#include "State/TargetRecord.h"
#include "Support/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of EngineChooser.
struct EngineChooserSettings {
  /// Cost of a running request at an engine, in prompt tokens to be computed.
  /// Outweighs cached parts when an engine has many more requests than others.
  double TokensPerRequest_ = 400;
  /// Time after its last use for which an engine is assumed to cache a part.
  Milliseconds PartLifetime_{20000};
  /// Parts remembered in total, over all engines.
  std::size_t MaxParts_ = 20000;
  /// Cost in prompt tokens of an engine whose recent requests all failed;
  /// multiplied by the share that failed.
  double FailureTokens_ = 20000;
  /// Weight of a new prompt in the average size of the prompts.
  double SizeWeight_ = 0.02;
  /// Cost in prompt tokens of an engine in whose data centre none of the stage
  /// results are that it must read; multiplied by the share of bytes elsewhere.
  /// Only separates engines that are otherwise equal: reading results from
  /// another data centre delays a request by about a millisecond.
  double RemoteInputTokens_ = 40;
};

/// The request for which an engine is chosen.
struct EngineQuery {
  std::vector<protocol::PromptPart> Prompt_;
  TokenDemand Demand_;
  /// Memory of each engine in tokens; 0 if it is not stated.
  std::uint64_t MemoryTokens_ = 0;
  /// Bytes of stage results that the engine must read, by data centre.
  std::map<std::string, std::uint64_t> InputBytes_;
};

/// Sends prompts to the engine that has most of their parts in its prefix
/// cache. Hosts agree without messages: the shared parts of a prompt are
/// expected at the engine that ranks first for them by rendezvous hashing. When
/// that engine has many more requests than others, prompts go to another one.
class EngineChooser final {
public:
  explicit EngineChooser(EngineChooserSettings Settings = {});

  /// Returns the best of \p Engines for \p Query, or null if there is none
  /// whose memory can take the request. Engines in \p Excluded are chosen only
  /// if no other is usable.
  const state::TargetRecord *
  choose(const std::vector<const state::TargetRecord *> &Engines,
         const EngineQuery &Query, const std::set<std::string> &Excluded,
         const TargetHealth &Health, const EngineMemory &Memory,
         SteadyTime Now) const;

  /// Records that a prompt was sent to an engine, which now caches its parts.
  void onPromptSent(const std::string &EngineId,
                    const std::vector<protocol::PromptPart> &Prompt,
                    SteadyTime Now);
  /// Whether a prompt is at least as large as the average one.
  bool isLarge(const std::vector<protocol::PromptPart> &Prompt) const;
  /// Tokens of a prompt relative to the average prompt; 1 if that is unknown.
  double relativeSize(const std::vector<protocol::PromptPart> &Prompt) const;
  /// Forgets the cached parts of an engine that no longer runs.
  void onEngineRemoved(const std::string &EngineId);

private:
  void removeExpiredParts(SteadyTime Now);
  /// Prompt tokens that \p Engine would have to compute.
  double uncachedTokens(const state::TargetRecord &Engine, bool IsPreferred,
                        const std::vector<protocol::PromptPart> &Prompt,
                        SteadyTime Now) const;

  EngineChooserSettings Settings_;
  /// Last use of each part at each engine, by part and engine id.
  std::map<std::string, std::map<std::string, SteadyTime>> LastUses_;
  double AverageTokens_ = 0; ///< Of all prompts that were sent.
};

/// Rank of \p Candidate for \p Key by rendezvous hashing; the highest is first.
std::uint64_t rendezvousRank(const std::string &Key,
                             const std::string &Candidate);

} // namespace amaranth::coordination

#endif
