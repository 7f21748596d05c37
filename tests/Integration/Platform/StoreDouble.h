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
  struct Change {
    std::string Key_;
    std::uint64_t Revision_ = 0;
    bool Removed_ = false;
    std::string Value_; ///< As base64.
  };

  /// What the store held at one moment.
  struct Copy {
    std::uint64_t Revision_ = 1;
    std::uint64_t LastLease_ = 0;
    std::set<std::uint64_t> Leases_;
    std::map<std::string, Change> Items_;
    std::vector<Change> History_;
  };

  /// What becomes of the watches that wait while the store is restored.
  enum class WaitingWatches {
    End,      ///< Those after a revision that the store has lost get 410.
    Continue, ///< They get later events, or none at the end of their time.
  };

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
  Copy copy();
  /// From now on new calls are answered with 503, while the watches that are
  /// waiting stay so. Nothing may be written until the store comes back.
  void goAway();
  /// The store is back with what it held.
  void comeBack();
  /// The store is back with an earlier copy. Revisions and leases are given out
  /// again, and the era rises by one.
  void comeBack(const Copy &Earlier,
                WaitingWatches Waiting = WaitingWatches::End);
  /// All answers have these fields Store-Era instead of the era; nullopt ends
  /// that.
  void setEraFields(std::optional<std::vector<std::string>> Values);
  /// Holds back the next answer to \p Call ("kv-range" or "kv-watch") of
  /// \p Host for \p Prefix; of a watch, the next one that has events.
  void holdAnswer(std::size_t Host, const std::string &Call,
                  const std::string &Prefix);
  /// Whether the answer has been computed and is held back.
  bool isAnswerHeld();
  void deliverHeldAnswer();
  /// The hosts that watch \p Prefix.
  std::set<std::size_t> watchingHosts(const std::string &Prefix);

private:
  struct HeldAnswer {
    std::size_t Host_ = 0;
    std::string Call_;
    std::string Prefix_;
    bool IsHeld_ = false;
  };

  /// Returns the answer to \p Request, or nothing if it is not answered.
  std::optional<std::string> answer(std::size_t Host, SteadyTime OpenedAt,
                                    const RawRequest &Request);
  std::string range(std::size_t Host, const std::string &Prefix,
                    std::unique_lock<std::mutex> &Lock);
  std::optional<std::string> watch(std::size_t Host, SteadyTime OpenedAt,
                                   const RawRequest &Request);
  bool isSilent(std::size_t Host, SteadyTime OpenedAt) const;
  /// Waits until deliverHeldAnswer() if the answer is to be held back.
  void delayIfHeld(std::size_t Host, const std::string &Call,
                   const std::string &Prefix,
                   std::unique_lock<std::mutex> &Lock);
  std::string transact(const std::string &Body);
  std::string keepLease(const std::string &Id);
  std::string eraFields() const;
  /// An answer without a body.
  std::string statusAnswer(int Status) const;
  std::string jsonAnswer(const nlohmann::json &Body) const;
  void write(const std::string &Key, const std::string &Value, bool Removed);
  static nlohmann::json toJson(const Change &Item);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsDown_ = false;
  bool IsAway_ = false;
  bool IsStopping_ = false;
  std::set<std::size_t> SilentHosts_;
  SteadyTime SilentIfOpenedBy_{};       ///< silenceOpenConnections().
  std::map<std::string, int> Silences_; ///< By prefix: silenceWaitingCalls().
  std::map<std::string, std::multiset<std::size_t>> Watchers_; ///< By prefix.
  Copy Contents_;
  std::uint64_t Era_ = 1;
  WaitingWatches Waiting_ = WaitingWatches::End;
  std::optional<std::vector<std::string>> EraFields_; ///< setEraFields().
  std::optional<HeldAnswer> Held_;
  std::map<std::size_t, std::unique_ptr<RawServer>> Servers_; ///< By host.
};

} // namespace amaranth::integration

#endif
