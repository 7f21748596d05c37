/// \file
/// One run of a load scenario against one fleet.
#ifndef AMARANTH_CONTROL_BENCHRUN_H
#define AMARANTH_CONTROL_BENCHRUN_H

#include "Control/BenchReport.h"
#include "Control/BenchVerifier.h"
#include "Transport/WorkArena.h"

#include <ostream>

namespace amaranth::control {

/// Outcome of one order, to compare with the executions that targets recorded.
struct BenchOrder {
  std::string OrderId_;
  std::string Service_;
  BenchOutcome Outcome_ = BenchOutcome::Unknown;
  int KeyCount_ = 0; ///< Idempotency keys used.
};

/// Settings of BenchRun.
struct BenchRunSettings {
  std::vector<std::string> Hosts_;    ///< Daemons of the fleet.
  std::vector<std::string> Standins_; ///< Targets that phases can slow.
  double Capacity_ = 0;               ///< Requests/s, 0 if not known.
  std::uint64_t Seed_ = 1;
  /// Limit of the requests in flight. Further ones wait, which shows as
  /// lateness.
  int Concurrency_ = 1024;
  std::map<std::string, std::string> BearerKeys_; ///< By account.
};

/// Sends each planned request at its time, regardless of the progress of
/// earlier ones (open loop), and collects the results.
class BenchRun final {
public:
  /// Writes a line to \p Progress for each phase.
  BenchRun(const BenchScenario &Scenario, BenchRunSettings Settings,
           std::ostream &Progress);

  /// Blocks until every request has an outcome.
  void run(BenchReport &Report, BenchVerifier &Verifier,
           std::vector<BenchOrder> &Orders);

private:
  using Callers =
      std::map<std::pair<std::string, int>, std::unique_ptr<BenchCaller>>;

  void makeCallers(const std::vector<PlannedRequest> &Plan);
  void sendAll(const std::vector<PlannedRequest> &Plan,
               transport::WorkArena &Arena);
  void sendRequest(const PlannedRequest &Request, SteadyTime PlannedAt);
  void startPhases(Microseconds Offset);
  void slowStandins(int Count, double Factor);
  void setSlowFactor(const std::string &Address, double Factor);
  std::string orderId(const PlannedRequest &Request) const;

  const BenchScenario &Scenario_;
  BenchRunSettings Settings_;
  std::ostream &Progress_;
  std::string Nonce_; ///< Makes order ids differ between runs.
  transport::HttpClient Client_;
  Callers Callers_;
  std::size_t NextPhase_ = 0;
  std::size_t SlowedCount_ = 0; ///< Stand-ins that are slowed now.
  SteadyTime Start_;
  std::mutex Mutex_;
  std::vector<BenchRecord> Records_;
};

} // namespace amaranth::control

#endif
