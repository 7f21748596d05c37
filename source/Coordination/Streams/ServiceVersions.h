/// \file
/// Versions of the target software of each service.
#ifndef AMARANTH_COORDINATION_STREAMS_SERVICEVERSIONS_H
#define AMARANTH_COORDINATION_STREAMS_SERVICEVERSIONS_H

#include "Support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace amaranth::coordination {

/// No stream is taken up by its caller later than this after its first event.
constexpr Seconds StreamWindow{60};

/// Settings of ServiceVersions.
struct ServiceVersionsSettings {
  Milliseconds Window_ = StreamWindow;
  /// Within this time after a version was recorded, each host knows the record
  /// or knows that it does not read the store.
  Milliseconds SettleTime_{2000};
  /// A version that is not recorded within this time gets streams nevertheless.
  Milliseconds RecordTimeLimit_{2000};
};

/// A version of a service.
struct VersionName {
  std::string Service_;
  std::string Version_;
  bool operator==(const VersionName &) const = default;
  bool operator<(const VersionName &Other) const {
    return std::tie(Service_, Version_) <
           std::tie(Other.Service_, Other.Version_);
  }
};

/// The versions of each service that may have begun the streams of the window,
/// from the records of targets and from the records of versions in the store.
/// Has no clock and no network.
class ServiceVersions final {
public:
  explicit ServiceVersions(ServiceVersionsSettings Settings = {});

  /// For each route whose streams may be taken up, its services. Versions of
  /// other services are not recorded, and any of them may get requests.
  void setRoutes(const std::vector<std::set<std::string>> &Routes);
  /// A target is registered. One that is not ready gets no requests.
  void setTarget(const std::string &Target, VersionName Name, bool IsReady,
                 SteadyTime Now);
  void removeTarget(const std::string &Target, SteadyTime Now);
  /// The store has the record of a version under \p Key.
  void setRecord(const std::string &Key, VersionName Name, SteadyTime Now);
  void removeRecord(const std::string &Key);
  /// All records of versions are known.
  void onRecordsComplete() { IsComplete_ = true; }
  bool isComplete() const { return IsComplete_; }
  /// Removes the versions that have left the window.
  void forgetOld(SteadyTime Now);

  /// Whether several versions of \p Service, or of it and the services that
  /// share a route with it, are in the window: a caller that takes a stream up
  /// does not say which of them began it.
  bool hasSeveral(const std::string &Service, SteadyTime Now) const;
  /// The services with several versions in the window, as in hasSeveral().
  std::set<std::string> withSeveral(SteadyTime Now) const;
  /// \p Service and the services that share a route with it.
  std::set<std::string> alternatives(const std::string &Service) const;
  /// The version that began all streams of the window; nothing if there may be
  /// several, or this is not certain yet.
  std::optional<std::string> findOnly(const std::string &Service,
                                      SteadyTime Now) const;
  /// Whether a target of this version may get new streams.
  bool mayBegin(const VersionName &Name, SteadyTime Now) const;

  /// Whether a target of this version is registered.
  bool isRegistered(const VersionName &Name) const;
  /// When the record was last written; nothing if there is none.
  std::optional<SteadyTime> recordedAt(const VersionName &Name) const;
  /// The versions with registered targets of the services of setRoutes().
  std::vector<VersionName> registered() const;

private:
  struct Target {
    VersionName Name_;
    bool IsReady_ = false;
  };
  struct State {
    int Targets_ = 0;
    int ReadyTargets_ = 0;
    SteadyTime FirstRegisteredAt_{};
    /// While no target is registered: when the last one was.
    std::optional<SteadyTime> LastRegisteredAt_;
    std::string Key_; ///< Of its record; empty if there is none.
    SteadyTime RecordedAt_{};
    /// When its record was first seen; kept when the record is lost.
    std::optional<SteadyTime> FirstRecordedAt_;
  };
  using States = std::map<std::string, State>; ///< By version.

  std::set<std::string> versionsInWindow(const std::string &Service,
                                         SteadyTime Now) const;
  bool isInWindow(const State &Version, SteadyTime Now) const;
  const States *findService(const std::string &Service) const;
  const State *findState(const VersionName &Name) const;
  State &state(const VersionName &Name);

  ServiceVersionsSettings Settings_;
  /// The services of setRoutes(), each with those that share a route with it.
  std::map<std::string, std::set<std::string>> ResumableServices_;
  std::map<std::string, States> Services_;
  std::map<std::string, Target> Targets_;      ///< By id.
  std::map<std::string, VersionName> Records_; ///< By key.
  bool IsComplete_ = false;
};

} // namespace amaranth::coordination

#endif
