/// \file
/// One run of a load scenario against one fleet.
#ifndef AMARANTH_CONTROL_BENCHRUN_H
#define AMARANTH_CONTROL_BENCHRUN_H

#include "Control/BenchReport.h"
#include "Control/BenchVerifier.h"
#include "Transport/WorkArena.h"

#include <ostream>

namespace amaranth::control {

/// What became of one order, for comparison with the record of the targets.
struct BenchOrder {
  std::string OrderId_;
  std::string Service_;
  BenchOutcome Outcome_ = BenchOutcome::Unknown;
  int Keys_ = 0;
};

/// Settings of BenchRun.
struct BenchRunSettings {
  std::vector<std::string> Hosts_;    ///< Daemons of the fleet.
  std::vector<std::string> Standins_; ///< Targets that phases can slow.
  double Capacity_ = 0;               ///< Requests/s, 0 if not known.
  std::uint64_t Seed_ = 1;
  /// Requests in flight at once; more of them wait, which shows as lateness.
  int Concurrency_ = 1024;
  std::map<std::string, std::string> Keys_; ///< Bearer key by account.
};

/// Sends the planned requests at their times, whatever became of earlier ones
/// (open loop), and collects what became of each.
class BenchRun final {
public:
  /// \p Progress gets a line for each phase.
  BenchRun(const BenchScenario &Scenario, BenchRunSettings Settings,
           std::ostream &Progress);

  /// Blocks until every request has ended.
  void run(BenchReport &Report, BenchVerifier &Verifier,
           std::vector<BenchOrder> &Orders);

private:
  using Callers =
      std::map<std::pair<std::string, int>, std::unique_ptr<BenchCaller>>;

  void makeCallers(const std::vector<PlannedRequest> &Plan);
  void dispatch(const std::vector<PlannedRequest> &Plan,
                transport::WorkArena &Arena);
  void sendOne(const PlannedRequest &Request, SteadyTime Intended);
  void enterPhases(Microseconds Offset);
  void setSlowed(int Count, double Factor);
  void changeSpeed(const std::string &Address, double Factor);
  std::string orderId(const PlannedRequest &Request) const;

  const BenchScenario &Scenario_;
  BenchRunSettings Settings_;
  std::ostream &Progress_;
  std::string Nonce_; ///< Order ids of different runs differ.
  transport::HttpClient Client_;
  Callers Callers_;
  std::size_t NextPhase_ = 0;
  std::size_t Slowed_ = 0; ///< Stand-ins that are slowed now.
  SteadyTime Start_;
  std::mutex Mutex_;
  std::vector<BenchRecord> Records_;
};

} // namespace amaranth::control

#endif
