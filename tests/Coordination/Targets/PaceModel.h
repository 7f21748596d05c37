/// \file
/// Replayed load for targets of which some have just returned to service.
#ifndef AMARANTH_TESTS_COORDINATION_TARGETS_PACEMODEL_H
#define AMARANTH_TESTS_COORDINATION_TARGETS_PACEMODEL_H

#include "Coordination/Targets/TargetPacer.h"

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace amaranth::testing {

using coordination::PaceOutcome;

/// Decides whether a request may go to a target now, and learns how it ended.
class PacePolicy {
public:
  virtual ~PacePolicy() = default;
  virtual bool take(int Target, bool IsCold, SteadyTime Now) = 0;
  virtual void report(int Target, PaceOutcome Outcome, double TimeRatio,
                      SteadyTime Now) = 0;
};

struct PaceFigures {
  double EvenShareSeconds_ = 0; ///< Until the returned targets have 90 % of it.
  int Refused_ = 0;
  int Crashes_ = 0;
  int Late_ = 0;            ///< After a second, lost in a crash, or never sent.
  long ReadAgain_ = 0;      ///< Prompt tokens whose part another target had.
  int MaxColdInSecond_ = 0; ///< Most requests in a second at a cold target.
};

/// 46 targets of 8 slots, 23 of which return with an empty cache, in a burst of
/// two seconds. A request takes 0.2 s, three times as long at a cold target,
/// and goes to the target of its prompt's part, else to the least busy of some
/// others. A target crashes if it gets more than 23 requests in a second while
/// it is cold: its requests are lost and it is cold anew. \p Slowdown makes the
/// returned targets slower for the whole time.
inline PaceFigures replay(PacePolicy &Policy, double ColdSeconds,
                          double Slowdown) {
  constexpr int Targets = 46, Returned = 23, Slots = 8, MaxRunning = 16;
  constexpr int Parts = 460, PartTokens = 500, MaxCold = 23;
  struct End {
    double At_;
    int Target_;
    double Time_;
    int Life_;
    bool operator>(const End &Other) const { return At_ > Other.At_; }
  };
  struct Target {
    std::array<double, Slots> FreeAt_{};
    int Running_ = 0, Life_ = 0;
    double ColdUntil_ = 0;
    std::set<int> Cached_;
    std::deque<double> Arrivals_;
  };
  std::mt19937_64 Random(7);
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  std::array<Target, Targets> Fleet;
  std::array<int, 41> ToReturned{}, Total{}; // By half-second.
  PaceFigures Figures;
  auto ToTime = [](double Second) {
    return SteadyTime(Seconds(1000)) +
           Microseconds(static_cast<std::int64_t>(Second * 1e6));
  };
  for (int I = 0; I < Returned; ++I)
    Fleet[I].ColdUntil_ = ColdSeconds;
  for (int Part = 0; Part < Parts; ++Part)
    Fleet[Returned + Part % (Targets - Returned)].Cached_.insert(Part);
  auto Finish = [&](const End &Call) {
    Target &At = Fleet[Call.Target_];
    Figures.Late_ += Call.Life_ != At.Life_ || Call.Time_ > 1;
    if (Call.Life_ != At.Life_)
      return;
    --At.Running_;
    Policy.report(Call.Target_,
                  Call.Time_ > 0.6 ? PaceOutcome::Slow : PaceOutcome::Usual,
                  Call.Time_ / 0.2, ToTime(Call.At_));
  };
  auto Send = [&](int Index, int Part, double Now) {
    Target &At = Fleet[Index];
    if (At.Running_ >= MaxRunning) {
      ++Figures.Refused_;
      Policy.report(Index, PaceOutcome::Refused, 1, ToTime(Now));
      return false;
    }
    bool IsCold = Now < At.ColdUntil_;
    Figures.ReadAgain_ += At.Cached_.insert(Part).second ? PartTokens : 0;
    double &Slot = *std::min_element(At.FreeAt_.begin(), At.FreeAt_.end());
    Slot = std::max(Slot, Now) + 0.2 * (IsCold             ? 3
                                        : Index < Returned ? Slowdown
                                                           : 1);
    ++At.Running_;
    Ends.push({Slot, Index, Slot - Now, At.Life_});
    At.Arrivals_.push_back(Now);
    while (At.Arrivals_.front() < Now - 1)
      At.Arrivals_.pop_front();
    int InSecond = IsCold ? static_cast<int>(At.Arrivals_.size()) : 0;
    Figures.MaxColdInSecond_ = std::max(Figures.MaxColdInSecond_, InSecond);
    if (InSecond > MaxCold) {
      ++Figures.Crashes_;
      int Life = At.Life_ + 1;
      At = Target();
      At.Life_ = Life;
      At.ColdUntil_ = Now + ColdSeconds;
    }
    return true;
  };
  double Now = 0;
  while (Now < 20) {
    Now += std::exponential_distribution<double>(Now < 2 ? 400 : 233)(Random);
    for (; !Ends.empty() && Ends.top().At_ <= Now; Ends.pop())
      Finish(Ends.top());
    for (int Member = 0; Member < 3; ++Member) {
      int Part = static_cast<int>(Random() % Parts);
      std::array<int, 7> Order{Part % Targets};
      for (std::size_t I = 1; I < Order.size(); ++I)
        Order[I] = static_cast<int>(Random() % Targets);
      std::sort(Order.begin() + 1, Order.end(), [&](int A, int B) {
        return Fleet[A].Running_ < Fleet[B].Running_;
      });
      bool IsSent = false;
      for (int Index : Order) {
        bool IsOpen =
            Index >= Returned ||
            Policy.take(Index, Now < Fleet[Index].ColdUntil_, ToTime(Now));
        if (!IsOpen || !Send(Index, Part, Now))
          continue;
        IsSent = true;
        ++Total[static_cast<std::size_t>(Now * 2)];
        ToReturned[static_cast<std::size_t>(Now * 2)] += Index < Returned;
        break;
      }
      Figures.Late_ += !IsSent;
    }
  }
  std::size_t I = 0;
  while (I < Total.size() &&
         ToReturned[I] < 0.9 * Total[I] * Returned / Targets)
    ++I;
  Figures.EvenShareSeconds_ = static_cast<double>(I) / 2;
  return Figures;
}

} // namespace amaranth::testing

#endif
