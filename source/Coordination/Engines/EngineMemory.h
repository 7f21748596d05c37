/// \file
/// Memory that the requests of the fleet occupy at model engines.
#ifndef AMARANTH_COORDINATION_ENGINES_ENGINEMEMORY_H
#define AMARANTH_COORDINATION_ENGINES_ENGINEMEMORY_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of EngineMemory.
struct EngineMemorySettings {
  /// This host reports an engine to its peers when its own requests occupy more
  /// than the engine's memory divided by this.
  std::uint64_t ReportDivisor_ = 16;
  /// A peer's report counts for this long; longer than a lost ping, and than
  /// the time after which a silent peer is taken for lost.
  Milliseconds ReportLifetime_{1500};
};

/// Tokens that one request may come to hold at an engine.
struct TokenDemand {
  std::uint64_t Prompt_ = 0;
  std::uint64_t MaxOutput_ = 0; ///< 0 if the caller states none.

  std::uint64_t total() const { return Prompt_ + MaxOutput_; }

  /// Bound for each count that a caller states, so that sums cannot overflow.
  static constexpr std::uint64_t MaxCount = std::uint64_t{1} << 40;
};

/// Counts the tokens of the requests at each engine: of this host's own, and of
/// peers as they report them. A request counts with its prompt and all tokens
/// that it may still generate, because a running request cannot be moved when
/// the engine's memory runs out. An engine without a stated memory is not
/// limited. Not thread-safe.
class EngineMemory final {
public:
  explicit EngineMemory(EngineMemorySettings Settings = {})
      : Settings_(Settings) {}

  /// Whether a request is larger than a memory of \p Capacity even alone. Only
  /// the prompt counts for this: the caller may not use its whole output.
  static bool exceeds(const TokenDemand &Demand, std::uint64_t Capacity) {
    return Capacity > 0 && Demand.Prompt_ > Capacity;
  }
  /// Whether \p Engine, with a memory of \p Capacity tokens, can take a request
  /// of \p Demand. An engine without requests takes any that does not exceed
  /// its memory.
  bool fits(const std::string &Engine, const TokenDemand &Demand,
            std::uint64_t Capacity, SteadyTime Now) const;

  /// A request was sent to \p Engine.
  void begin(const std::string &Engine, const TokenDemand &Demand,
             std::uint64_t Capacity);
  /// The request ended; \p Demand is that of begin().
  void end(const std::string &Engine, const TokenDemand &Demand);

  /// Engines of which this host's requests occupy more than the reported share.
  std::vector<protocol::EngineTokens> report() const;
  /// Replaces what \p Host reported before.
  void onPeerReport(const std::string &Host,
                    const std::vector<protocol::EngineTokens> &Report,
                    SteadyTime Now);

  /// Requests of peers at \p Engine, as far as they are reported.
  std::uint64_t peerRequests(const std::string &Engine, SteadyTime Now) const;

private:
  struct Own {
    std::uint64_t Tokens_ = 0;
    std::uint64_t Requests_ = 0;
    std::uint64_t Capacity_ = 0;
  };
  struct PeerReport {
    SteadyTime ReceivedAt_;
    std::map<std::string, protocol::EngineTokens> Engines_;
  };

  /// Tokens and requests of peers at \p Engine.
  protocol::EngineTokens peerTokens(const std::string &Engine,
                                    SteadyTime Now) const;

  EngineMemorySettings Settings_;
  std::map<std::string, Own> Own_;          ///< By engine id.
  std::map<std::string, PeerReport> Peers_; ///< By host.
};

} // namespace amaranth::coordination

#endif
