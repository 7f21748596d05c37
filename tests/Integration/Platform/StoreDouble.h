/// \file
/// Test double of the platform's key-value store.
#ifndef AMARANTH_TESTS_INTEGRATION_PLATFORM_STOREDOUBLE_H
#define AMARANTH_TESTS_INTEGRATION_PLATFORM_STOREDOUBLE_H

#include "Integration/Platform/RawServer.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::integration {

/// Stores keys with revisions and answers range, watch, transaction and lease
/// calls. Leases never expire. Each host has an address of its own, so that the
/// store can treat hosts differently.
class StoreDouble final {
public:
  StoreDouble();
  ~StoreDouble();

  /// Address for the host with number \p Host.
  std::string address(std::size_t Host);
  void put(const std::string &Key, const nlohmann::json &Value);
  /// The same with any bytes as the value.
  void putBytes(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// While down, calls are answered with 503 and open watches end with 503.
  void setDown(bool Down);
  /// From now on no call of \p Host is answered, while its connections stay
  /// open.
  void setSilent(std::size_t Host);
  /// No watch that is waiting now is answered, while new calls are.
  void silenceWaitingCalls();
  /// The same for the watches of \p Prefix only.
  void silenceWaitingCalls(const std::string &Prefix);
  /// No call is answered on the connections that are open now, whether it is
  /// waiting or made later. New connections are not affected.
  void silenceOpenConnections();
  /// The hosts that watch \p Prefix.
  std::set<std::size_t> watchingHosts(const std::string &Prefix);

private:
  struct Change {
    std::string Key_;
    std::uint64_t Revision_ = 0;
    bool Removed_ = false;
    std::string Value_; ///< As base64.
  };

  /// Returns the answer to \p Request, or nothing if it is not answered.
  std::optional<std::string> answer(std::size_t Host, SteadyTime OpenedAt,
                                    const RawRequest &Request);
  std::string range(const std::string &Prefix);
  std::optional<std::string> watch(std::size_t Host, SteadyTime OpenedAt,
                                   const RawRequest &Request);
  bool isSilent(std::size_t Host, SteadyTime OpenedAt) const;
  std::string transact(const std::string &Body);
  void write(const std::string &Key, const std::string &Value, bool Removed);
  static nlohmann::json toJson(const Change &Item);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsDown_ = false;
  bool IsStopping_ = false;
  std::set<std::size_t> SilentHosts_;
  SteadyTime SilentIfOpenedBy_{};       ///< silenceOpenConnections().
  std::map<std::string, int> Silences_; ///< By prefix: silenceWaitingCalls().
  std::map<std::string, std::multiset<std::size_t>> Watchers_; ///< By prefix.
  std::uint64_t Revision_ = 1;
  std::uint64_t LastLease_ = 0;
  std::map<std::string, Change> Items_;
  std::vector<Change> History_;
  std::map<std::size_t, std::unique_ptr<RawServer>> Servers_; ///< By host.
};

} // namespace amaranth::integration

#endif
