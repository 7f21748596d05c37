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
#include <string>
#include <vector>

namespace amaranth::integration {

/// Stores keys with revisions and answers range, watch, transaction and lease
/// calls. Leases never expire.
class StoreDouble final {
public:
  StoreDouble();
  ~StoreDouble();

  std::string address() const { return Server_->address(); }
  void put(const std::string &Key, const nlohmann::json &Value);
  void remove(const std::string &Key);
  /// While down, calls are answered with 503 and open watches end with 503.
  void setDown(bool Down);

private:
  struct Change {
    std::string Key_;
    std::uint64_t Revision_ = 0;
    bool Removed_ = false;
    std::string Value_; ///< As base64.
  };

  bool handle(RawServerConnection &Connection, const RawRequest &Request);
  std::string range(const std::string &Prefix);
  std::string watch(const RawRequest &Request);
  std::string transact(const std::string &Body);
  void write(const std::string &Key, const std::string &Value, bool Removed);
  static nlohmann::json toJson(const Change &Item);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsDown_ = false;
  std::uint64_t Revision_ = 1;
  std::uint64_t LastLease_ = 0;
  std::map<std::string, Change> Items_;
  std::vector<Change> History_;
  std::unique_ptr<RawServer> Server_;
};

} // namespace amaranth::integration

#endif
