/// \file
/// Stand-in for a pool of encoders, retrievers or rerankers.
#ifndef AMARANTH_STANDIN_POOLSTANDIN_H
#define AMARANTH_STANDIN_POOLSTANDIN_H

#include "Standin/LoadHistory.h"
#include "Standin/SlotQueue.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Standin/TargetFaults.h"

namespace amaranth::standin {

/// Settings of PoolStandin.
struct PoolSettings {
  StandinServerSettings Server_;
  int Slots_ = 8; ///< Calls served at once.
  Microseconds ServiceTime_{5000};
  Milliseconds LoadLag_{0}; ///< Age of load reports.
};

/// Answers the calls of all kinds of pools after the service time.
class PoolStandin final : public Standin {
public:
  explicit PoolStandin(const PoolSettings &Settings);
  ~PoolStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using StageFunction =
      std::function<nlohmann::json(const nlohmann::json &Body)>;

  void addStageRoute(const std::string &Path, const std::string &CounterName,
                     StageFunction Stage);
  transport::HttpReply handleCall(StandinCall &Call,
                                  const StageFunction &Stage);
  bool waitForService(Connection &Client);
  void addPendingCalls(std::int64_t Calls);
  LoadSample currentLoad() const;

  PoolSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> PendingCalls_ = 0;
  SlotQueue Slots_;
  LoadHistory LoadHistory_;
};

} // namespace amaranth::standin

#endif
