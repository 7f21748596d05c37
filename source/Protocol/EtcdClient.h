/// \file
/// Client of the key-value service over the HTTP/JSON form of the etcd v3 API.
#ifndef AMARANTH_PROTOCOL_ETCDCLIENT_H
#define AMARANTH_PROTOCOL_ETCDCLIENT_H

#include "Protocol/KeyValueStore.h"
#include "Transport/HttpClient.h"

#include <atomic>

namespace amaranth::protocol {

namespace detail {
struct EtcdReply;
}

/// Kinds of calls to the key-value service; an open watch is one call.
enum class KeyValueCall {
  Range,
  Commit,
  GrantLease,
  KeepAlive,
  RevokeLease,
  Watch
};

/// The name of \p Call in logs and metrics.
const char *toString(KeyValueCall Call);

/// Notified of every call that leaves this process, so that metrics can count
/// them. Thread-safe.
class KeyValueObserver {
public:
  virtual ~KeyValueObserver() = default;
  virtual void onCall(KeyValueCall Call) = 0;
};

/// Settings of EtcdClient.
struct EtcdClientSettings {
  std::vector<std::string> Endpoints_; ///< "ip:port", in order of preference.
  /// A watch that receives nothing for this long is ended, because a stalled
  /// connection cannot be told apart from one without changes. Shorter than the
  /// 12 s within which a configuration must be in force.
  Milliseconds WatchIdleTimeout_{10000};
  /// Longest message of a watch; a longer one ends the watch.
  std::size_t MaxWatchMessageBytes_ = 32 * 1024 * 1024;
};

/// Calls the preferred endpoint first. The other endpoints are tried in turn if
/// the call was a read or is known to have had no effect.
class EtcdClient final : public KeyValueStore {
public:
  /// \p Observer may be null; otherwise it must outlive this object.
  explicit EtcdClient(const EtcdClientSettings &Settings,
                      KeyValueObserver *Observer = nullptr);
  ~EtcdClient() override;

  Result<RangeResult> range(const std::string &Key, bool Prefix,
                            Milliseconds Timeout) override;
  Result<TransactionResult> commit(const Transaction &Request,
                                   Milliseconds Timeout) override;
  Result<LeaseGrant> grantLease(Seconds TimeToLive,
                                Milliseconds Timeout) override;
  Result<LeaseGrant> keepAlive(std::int64_t LeaseId,
                               Milliseconds Timeout) override;
  Result<void> revokeLease(std::int64_t LeaseId, Milliseconds Timeout) override;
  /// Opens the watch on its own thread; a failure to open is reported by
  /// onWatchEnd(). onWatchEnd() must not destroy the watch.
  Result<std::unique_ptr<Watch>> watch(const std::string &Prefix,
                                       std::uint64_t FromRevision,
                                       WatchListener &Listener) override;

private:
  Result<detail::EtcdReply> call(KeyValueCall Kind, const std::string &Path,
                                 const std::string &Body, Milliseconds Timeout);
  Expected<detail::EtcdReply> attempt(KeyValueCall Kind,
                                      const transport::HttpCall &Call);
  /// Called when the endpoint at \p Index failed: prefers the next one, unless
  /// another call has already changed the preference.
  void preferNextEndpoint(std::size_t Index);

  friend class EtcdWatch;
  EtcdClientSettings Settings_;
  KeyValueObserver *Observer_;
  transport::HttpClient Http_;
  std::atomic<std::size_t> Preferred_ = 0;
};

} // namespace amaranth::protocol

#endif
