/// \file
/// Queue model of daemons and targets in simulated time.
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
  bool Predicted_ = true; ///< PredictedRouter and hedges, or RandomRouter.
  bool Admit_ = false;    ///< Admission, or every request at once.
  std::uint64_t Seed_ = 1;
};

/// Arrivals between two times.
struct Arrivals {
  double From_ = 0; ///< Seconds.
  double To_ = 0;
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

/// Real routers, target tables, budgets and admission on modelled targets,
/// whose reports are late and polled once a second.
class FleetModel final {
public:
  explicit FleetModel(const ModelSettings &Settings);
  ~FleetModel();

  void add(const Arrivals &Stream);
  /// Makes a target \p Factor times slower between two times.
  void slow(int Index, double From, double To, double Factor);
  /// Makes a target fail every request at once between two times.
  void failFast(int Index, double From, double To);
  void run();

  const std::vector<ModelRequest> &requests() const { return Requests_; }
  /// Latency quantile in seconds of requests that arrived between two times
  /// with \p Tokens tokens; one that failed counts with its deadline.
  double quantile(double Share, double From, double To, int Tokens) const;
  /// Share of capacity that served requests completed in time that ended
  /// between two times.
  double goodput(double From, double To) const;
  /// Share of accepted requests completed in time.
  double attainment(const std::string &Account) const;
  /// Share of all requests completed in time.
  double served(const std::string &Account) const;
  /// Attempts beyond the first of each request, relative to the requests.
  double extraWork() const;
  /// Attempts started at \p Target between two times.
  int attemptsAt(int Index, double From, double To) const;
  /// Share of first attempts at one of the input's two candidates.
  double candidateShare() const;
  /// Largest number of requests at one target.
  int longestQueue() const { return LongestQueue_; }

private:
  struct Attempt;
  struct Target;
  struct Daemon;
  using Event = std::function<void()>;

  void at(double Time, Event Run);
  double seconds() const;
  void arrive(std::size_t Request);
  void settleQueued(Daemon &Host);
  void start(std::size_t Request, std::vector<std::string> Tried);
  void hedge(std::size_t Request, const std::string &Tried);
  void launch(std::size_t Request, int Chosen);
  void pump(int Index);
  void finish(const std::shared_ptr<Attempt> &Run, bool Ok);
  void end(std::size_t Request, bool Completed);
  void cancel(const std::shared_ptr<Attempt> &Run);
  void noteLoad(Target &One);
  void poll(Daemon &Host);

  ModelSettings Settings_;
  SteadyTime Now_{Seconds{1000}};
  std::mt19937_64 Random_;
  std::multimap<SteadyTime, Event> Events_;
  state::ServiceDocument Document_;
  std::vector<std::unique_ptr<Target>> Targets_;
  std::vector<std::unique_ptr<Daemon>> Daemons_;
  std::vector<ModelRequest> Requests_;
  std::vector<std::vector<std::shared_ptr<Attempt>>> Live_;
  std::map<std::size_t, Permit> Permits_;
  int LongestQueue_ = 0;
  int AtCandidates_ = 0;
  double LastArrival_ = 0;
};

} // namespace amaranth::testing

#endif
