/// \file
/// Stand-in for a model engine.
#ifndef AMARANTH_STANDIN_ENGINESTANDIN_H
#define AMARANTH_STANDIN_ENGINESTANDIN_H

#include "Standin/LoadHistory.h"
#include "Standin/OrderLog.h"
#include "Standin/PrefixCache.h"
#include "Standin/SlotQueue.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Standin/TargetFaults.h"

namespace amaranth::standin {

/// Settings of EngineStandin.
struct EngineSettings {
  StandinServerSettings Server_;
  int Slots_ = 8; ///< Largest batch, in requests.
  Microseconds TokenTime_{5000};
  Microseconds PrefillTokenTime_{50}; ///< For each uncached prompt token.
  int CacheTokens_ = 65536;
  Milliseconds LoadLag_{0};    ///< Age of load reports.
  bool ChecksFencing_ = false; ///< Refuse orders with a stale fencing number.
  std::string Model_;
  std::string Role_ = "generate";
  /// A prompt that contains this text makes the process exit; empty for none.
  std::string CrashMarker_;
};

/// The parameters of one completion call.
struct CompletionRequest {
  std::string Prompt_;
  int MaxTokens_ = 16;
  int ResumeFrom_ = 0;
  int Priority_ = 0;
  bool IsStreamed_ = false;
  bool IsChat_ = false;
};

/// Models a continuous-batching engine: every running request generates one
/// token per token time, waiting requests join the batch by priority, and a
/// prompt costs prefill time for the tokens that are not in the prefix cache.
class EngineStandin final : public Standin {
public:
  explicit EngineStandin(const EngineSettings &Settings);
  ~EngineStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using TokenSink = std::function<bool(int Index, const std::string &Text)>;

  /// How a generation ended.
  enum class GenerationResult { Complete, Cancelled };

  void addRoutes();
  transport::HttpReply handleCompletion(StandinCall &Call, bool IsChat);
  transport::HttpReply completeUnstreamed(const CompletionRequest &Request,
                                          Connection Client);
  void completeStreamed(const CompletionRequest &Request, Connection Client,
                        transport::ChunkSink &Sink);
  GenerationResult generate(const CompletionRequest &Request,
                            Connection &Client, const TokenSink &SendToken);
  bool prefill(const CompletionRequest &Request, Connection &Client);
  bool decode(const CompletionRequest &Request, Connection &Client,
              const TokenSink &SendToken);
  bool applyStreamFaults(int SentTokens, Connection &Client);
  Microseconds applySlowFactor(Microseconds Time) const;
  void addPendingTokens(std::int64_t Tokens);
  LoadSample currentLoad() const;

  EngineSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> CutAfterTokens_ = -1;
  std::atomic<std::int64_t> SilentAfterTokens_ = -1;
  std::atomic<std::int64_t> CancelledCount_ = 0;
  std::atomic<std::int64_t> PendingTokens_ = 0;
  SlotQueue Slots_;
  PrefixCache PrefixCache_;
  OrderLog OrderLog_;
  LoadHistory LoadHistory_;
};

} // namespace amaranth::standin

#endif
