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
  /// Revisions kept for watches. A watch that starts at an older revision is
  /// cancelled as compacted.
  int HistoryLimit_ = 100000;
  int ReadsPerSecond_ = 0;  ///< Sustained rate of range calls; 0 for no limit.
  int WritesPerSecond_ = 0; ///< Of all other calls; 0 for no limit.
};

/// Serves the etcd v3 API as HTTP/JSON. Faults apply to /v3 only, so that
/// tests can control the stand-in and read the host list during an outage.
class KeyValueStandin final : public Standin {
public:
  explicit KeyValueStandin(const KeyValueSettings &Settings);
  ~KeyValueStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  using RequestReader =
      std::function<Result<TransactionRequest>(const nlohmann::json &Body)>;
  using ResponseWriter =
      std::function<nlohmann::json(const TransactionResponse &Response)>;

  void addApiRoutes();
  void addLeaseRoutes();
  void addControlRoutes();
  void addApiRoute(const std::string &Path, const std::string &CounterName,
                   StandinServer::Handler HandleCall);
  bool applyFaults(StandinCall &Call, RateLimiter &Limiter,
                   transport::HttpReply &Reply);
  transport::HttpReply commit(StandinCall &Call,
                              const RequestReader &ReadRequest,
                              const ResponseWriter &WriteResponse);
  bool consumeLostReply(const TransactionResponse &Response);
  transport::HttpReply grantLease(const nlohmann::json &Body);
  transport::HttpReply renewLease(const nlohmann::json &Body);
  transport::HttpReply revokeLease(const nlohmann::json &Body);
  transport::HttpReply openWatch(StandinCall &Call);
  void streamEvents(const WatchRequest &Request, Connection Client,
                    transport::ChunkSink &Sink);

  KeyValueState State_;
  HostList Hosts_;
  RateLimiter ReadLimiter_;
  RateLimiter WriteLimiter_;
  std::atomic<bool> Outage_ = false;
  std::atomic<bool> Hang_ = false;
  std::atomic<std::int64_t> DelayMs_ = 0;
  std::mutex LostReplyMutex_;
  std::int64_t LostReplyCount_ = 0;
  std::string LostReplyPrefix_;
  StandinServer Server_;
  transport::TimerService Timers_;
  transport::TimerSubscription LeaseExpiryTimer_;
};

} // namespace amaranth::standin

#endif
