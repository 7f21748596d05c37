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
  int Slots_ = 8;
  Microseconds ServiceTime_{5000};
  Milliseconds LoadLag_{0};
};

/// Answers every kind of pool call after the service time.
class PoolStandin final : public Standin {
public:
  explicit PoolStandin(const PoolSettings &Settings);
  ~PoolStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using Compute = std::function<nlohmann::json(const nlohmann::json &Body)>;

  void addStage(const std::string &Path, const std::string &Kind,
                Compute Function);
  transport::HttpReply run(StandinCall &Call, const Compute &Function);
  bool serve(Connection &Client);
  void changeWork(std::int64_t Calls);
  LoadSample sample() const;

  PoolSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> Work_ = 0;
  SlotQueue Slots_;
  LoadHistory Load_;
};

} // namespace amaranth::standin

#endif
