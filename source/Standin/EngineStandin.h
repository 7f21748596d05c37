/// \file
/// Stand-in for a model engine.
#ifndef AMARANTH_STANDIN_ENGINESTANDIN_H
#define AMARANTH_STANDIN_ENGINESTANDIN_H

#include "Standin/LoadHistory.h"
#include "Standin/OrderBook.h"
#include "Standin/PrefixCache.h"
#include "Standin/SlotQueue.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Standin/TargetFaults.h"

namespace amaranth::standin {

/// Settings of EngineStandin.
struct EngineSettings {
  StandinServerSettings Server_;
  int Slots_ = 8; ///< Requests in the batch.
  Microseconds TokenTime_{5000};
  Microseconds PrefillTokenTime_{50}; ///< For each prompt token not cached.
  int CacheTokens_ = 65536;
  Milliseconds LoadLag_{0};
  bool ChecksFencing_ = false;
  std::string Model_;
  std::string Role_ = "generate";
  /// A prompt with this text ends the process; empty for none.
  std::string CrashMarker_;
};

/// One completion as requested.
struct Completion {
  std::string Prompt_;
  int MaxTokens_ = 16;
  int ResumeFrom_ = 0;
  int Priority_ = 0;
  bool Stream_ = false;
  bool Chat_ = false;
};

/// Models a continuous-batching engine: every running request gets one token
/// for each token time, waiting requests enter by priority, and a prompt costs
/// prefill time for the tokens that the prefix cache does not hold.
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
  enum class Ending { Complete, Cancelled };

  void addRoutes();
  transport::HttpReply complete(StandinCall &Call, bool Chat);
  transport::HttpReply reply(const Completion &Request, Connection Client);
  void stream(const Completion &Request, Connection Client,
              transport::ChunkSink &Sink);
  Ending generate(const Completion &Request, Connection &Client,
                  const TokenSink &Send);
  bool prefill(const Completion &Request, Connection &Client);
  bool produce(const Completion &Request, Connection &Client,
               const TokenSink &Send);
  bool applyStreamFaults(int Sent, Connection &Client);
  Microseconds slowed(Microseconds Time) const;
  void changeWork(std::int64_t Tokens);
  LoadSample sample() const;

  EngineSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> CutAfterTokens_ = -1;
  std::atomic<std::int64_t> SilentAfterTokens_ = -1;
  std::atomic<std::int64_t> Cancelled_ = 0;
  std::atomic<std::int64_t> Work_ = 0;
  SlotQueue Slots_;
  PrefixCache Cache_;
  OrderBook Orders_;
  LoadHistory Load_;
};

} // namespace amaranth::standin

#endif
