/// \file
/// Choice of a model engine for a prompt.
#ifndef AMARANTH_COORDINATION_ENGINES_ENGINECHOOSER_H
#define AMARANTH_COORDINATION_ENGINES_ENGINECHOOSER_H

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
  /// Prompt tokens whose reading costs as much as one more running request
  /// beside it: what moves a prompt away from the engine that has its parts.
  double TokensPerRequest_ = 400;
  /// An engine is taken to keep a part for this long after its last use.
  Milliseconds PartLifetime_{20000};
  /// Parts remembered for all engines together.
  std::size_t MaxParts_ = 20000;
  /// Added for an engine that broke requests lately, in prompt tokens.
  double FailureTokens_ = 20000;
};

/// Sends prompts to the engine that has most of their parts. Hosts agree
/// without messages: a part that this host has not yet sent is expected at the
/// engine that ranks first for it by rendezvous hashing. An engine that has
/// more requests than others loses prompts to the next in rank.
class EngineChooser final {
public:
  explicit EngineChooser(EngineChooserSettings Settings = {});

  /// The best of \p Engines for \p Prompt, or null if there is none. Engines
  /// in \p Excluded are taken only if no other is usable.
  const state::TargetRecord *
  choose(const std::vector<const state::TargetRecord *> &Engines,
         const std::vector<protocol::PromptPart> &Prompt,
         const std::set<std::string> &Excluded, const TargetHealth &Health,
         SteadyTime Now) const;

  /// A prompt was sent to an engine, which now has its parts.
  void onSent(const std::string &EngineId,
              const std::vector<protocol::PromptPart> &Prompt, SteadyTime Now);
  /// An engine ended; it keeps nothing.
  void onEngineGone(const std::string &EngineId);

private:
  void forgetUnused(SteadyTime Now);
  double tokensToRead(const state::TargetRecord &Engine, bool First,
                      const std::vector<protocol::PromptPart> &Prompt,
                      SteadyTime Now) const;

  EngineChooserSettings Settings_;
  /// Last use of each part at each engine.
  std::map<std::string, std::map<std::string, SteadyTime>> Parts_;
};

/// Rank of \p Candidate for \p Key by rendezvous hashing; the highest is first.
std::uint64_t rendezvousRank(const std::string &Key,
                             const std::string &Candidate);

} // namespace amaranth::coordination

#endif
