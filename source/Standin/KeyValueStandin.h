/// \file
/// Stand-in for the platform's key-value service and host list.
#ifndef AMARANTH_STANDIN_KEYVALUESTANDIN_H
#define AMARANTH_STANDIN_KEYVALUESTANDIN_H

#include "Standin/HostList.h"
#include "Standin/KeyValueMessages.h"
#include "Standin/RateLimiter.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Transport/TimerService.h"

namespace amaranth::standin {

/// Settings of KeyValueStandin.
struct KeyValueSettings {
  StandinServerSettings Server_;
  Milliseconds HostListLag_{0};
  /// Revisions kept for watches; an older start is answered as compacted.
  int HistoryLimit_ = 100000;
  int ReadsPerSecond_ = 0;  ///< Sustained rate of range calls; 0 for no limit.
  int WritesPerSecond_ = 0; ///< The same for all other calls.
};

/// Serves the HTTP/JSON form of the etcd v3 API. Faults concern /v3 only, so
/// that tests control it and read the host list during an outage.
class KeyValueStandin final : public Standin {
public:
  explicit KeyValueStandin(const KeyValueSettings &Settings);
  ~KeyValueStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using Reader =
      std::function<Result<KeyTransaction>(const nlohmann::json &Body)>;
  using Writer = std::function<nlohmann::json(const TransactionAnswer &Answer)>;

  void addApiRoutes();
  void addLeaseRoutes();
  void addControlRoutes();
  void apiRoute(const std::string &Path, const std::string &Kind,
                StandinServer::Handler Handle);
  bool passFaults(StandinCall &Call, RateLimiter &Rate,
                  transport::HttpReply &Reply);
  transport::HttpReply commit(StandinCall &Call, const Reader &Read,
                              const Writer &Write);
  bool losesReply(const TransactionAnswer &Answer);
  transport::HttpReply grant(const nlohmann::json &Body);
  transport::HttpReply keepAlive(const nlohmann::json &Body);
  transport::HttpReply revoke(const nlohmann::json &Body);
  transport::HttpReply watch(StandinCall &Call);
  void stream(const WatchRequest &Request, Connection Client,
              transport::ChunkSink &Sink);

  KeyValueState State_;
  HostList Hosts_;
  RateLimiter Reads_;
  RateLimiter Writes_;
  std::atomic<bool> Outage_ = false;
  std::atomic<bool> Hang_ = false;
  std::atomic<std::int64_t> DelayMs_ = 0;
  std::mutex LossMutex_;
  std::int64_t LossCount_ = 0;
  std::string LossPrefix_;
  StandinServer Server_;
  transport::TimerService Timers_;
  transport::TimerSubscription Expiry_;
};

} // namespace amaranth::standin

#endif
