/// \file
/// Queueing model of daemons and targets in simulated time.
#ifndef AMARANTH_TESTS_COORDINATION_FLEETMODEL_H
#define AMARANTH_TESTS_COORDINATION_FLEETMODEL_H

#include "Coordination/Admission.h"
#include "Coordination/Router.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace amaranth::testing {

using namespace coordination;

struct ModelSettings {
  int Daemons_ = 4;
  int Targets_ = 18;
  int Slots_ = 8;
  double TokenSeconds_ = 0.005;
  Milliseconds ReportLag_{2000};
  Milliseconds Deadline_{4000};
  /// PredictedRouter and hedges; else RandomRouter.
  bool UsePrediction_ = true;
  bool UseAdmission_ = false; ///< Admission; else every request starts at once.
  std::uint64_t Seed_ = 1;
};

/// A Poisson stream of requests between two times.
struct Arrivals {
  double BeginSeconds_ = 0; ///< Simulated time.
  double EndSeconds_ = 0;
  double PerSecond_ = 0;
  int Tokens_ = 20;
  std::string Account_ = "a";
};

struct ModelRequest {
  double Arrival_ = 0;
  double End_ = 0;
  int Tokens_ = 0;
  std::string Account_;
  std::string Digest_;
  int Daemon_ = 0;
  int Attempts_ = 0;
  bool Accepted_ = false;
  bool Completed_ = false;
};

/// Runs the real routers, target tables, retry budgets and admission with
/// modelled targets, whose load reports are delayed and polled once a second.
class FleetModel final {
public:
  explicit FleetModel(const ModelSettings &Settings);
  ~FleetModel();

  void addArrivals(const Arrivals &Stream);
  /// Makes a target \p Factor times slower between two times.
  void addSlowPeriod(int Index, double BeginSeconds, double EndSeconds,
                     double Factor);
  /// Makes a target fail every request immediately between two times.
  void addFailurePeriod(int Index, double BeginSeconds, double EndSeconds);
  void run();

  const std::vector<ModelRequest> &requests() const { return Requests_; }
  /// Latency quantile in seconds of requests that arrived between two times
  /// with \p Tokens tokens; a failed request counts with the deadline.
  double quantile(double Share, double BeginSeconds, double EndSeconds,
                  int Tokens) const;
  /// Share of the capacity used by requests that were completed before their
  /// deadline and between two times.
  double goodput(double BeginSeconds, double EndSeconds) const;
  /// Share of the accepted requests completed before their deadline.
  double attainment(const std::string &Account) const;
  /// Share of all requests completed before their deadline.
  double completedShare(const std::string &Account) const;
  /// Attempts beyond the first of each request, relative to the requests.
  double extraWork() const;
  /// Attempts started at \p Target between two times.
  int attemptsAt(int Index, double BeginSeconds, double EndSeconds) const;
  /// Share of requests whose first attempt went to a candidate of the input.
  double candidateShare() const;
  /// Largest number of requests at one target.
  int longestQueue() const { return LongestQueue_; }

private:
  struct Attempt;
  struct Target;
  struct Daemon;
  using Event = std::function<void()>;

  void schedule(double Time, Event Run);
  double seconds() const;
  void handleArrival(std::size_t Request);
  void decideQueued(Daemon &Sender);
  void startAttempt(std::size_t Request, std::vector<std::string> Tried);
  void startHedge(std::size_t Request, const std::string &Tried);
  void launchAttempt(std::size_t Request, int Chosen);
  void startQueuedAttempts(int Index);
  void finishAttempt(const std::shared_ptr<Attempt> &Run, bool Ok);
  void end(std::size_t Request, bool Completed);
  void cancelAttempt(const std::shared_ptr<Attempt> &Run);
  void recordLoad(Target &Modelled);
  void pollLoadReports(Daemon &Sender);

  ModelSettings Settings_;
  SteadyTime Now_{Seconds{1000}};
  std::mt19937_64 Random_;
  std::multimap<SteadyTime, Event> Events_;
  state::ServiceDocument Document_;
  std::vector<std::unique_ptr<Target>> Targets_;
  std::vector<std::unique_ptr<Daemon>> Daemons_;
  std::vector<ModelRequest> Requests_;
  std::vector<std::vector<std::shared_ptr<Attempt>>> ActiveAttempts_;
  std::map<std::size_t, Permit> Permits_;
  int LongestQueue_ = 0;
  int AtCandidates_ = 0;
  double LastArrival_ = 0;
};

} // namespace amaranth::testing

#endif
