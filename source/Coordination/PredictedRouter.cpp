#include "Coordination/PredictedRouter.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

constexpr std::size_t CandidateCount = 2;

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

PredictedRouter::PredictedRouter(TargetTable &Table,
                                 const PredictedRouterSettings &Settings)
    : Table_(Table), Settings_(Settings), Random_(Settings.Seed_) {}

std::optional<Route> PredictedRouter::choose(const RouteQuery &Query) {
  Microseconds Median{0};
  std::vector<Option> Usable = findUsableOptions(Query, Median);
  auto Candidates =
      rankedCandidates(Query.Targets_, Query.InputDigest_, CandidateCount);
  auto IsCandidate = [&](const Option &Considered) {
    return std::find(Candidates.begin(), Candidates.end(),
                     Considered.Target_) != Candidates.end();
  };
  // An avoided target ranks after every other, but is still better than none.
  auto Better = [](const Option &Left, const Option &Right) {
    if (Left.Estimate_.Avoided_ != Right.Estimate_.Avoided_)
      return Right.Estimate_.Avoided_;
    return Left.Estimate_.Completion_ < Right.Estimate_.Completion_;
  };
  auto FirstOther =
      std::stable_partition(Usable.begin(), Usable.end(), IsCandidate);
  std::vector<Option> OtherOptions(FirstOther, Usable.end());
  Usable.erase(FirstOther, Usable.end());
  auto BestOption = std::min_element(Usable.begin(), Usable.end(), Better);
  bool AllLate =
      BestOption == Usable.end() || isLate(*BestOption, Query, Median);
  if (AllLate && !Query.Suspect_) {
    std::optional<Option> BestCandidate;
    if (BestOption != Usable.end())
      BestCandidate = *BestOption;
    Usable = sampleTwo(std::move(OtherOptions));
    if (BestCandidate)
      Usable.push_back(*BestCandidate);
    BestOption = std::min_element(Usable.begin(), Usable.end(), Better);
  }
  if (BestOption == Usable.end())
    return std::nullopt;
  return Route{BestOption->Target_, BestOption->Estimate_.Completion_};
}

std::vector<PredictedRouter::Option>
PredictedRouter::findUsableOptions(const RouteQuery &Query,
                                   Microseconds &Median) {
  std::vector<std::string> Addresses;
  for (const state::Target *Target : Query.Targets_)
    Addresses.push_back(Target->Address_);
  auto Estimates =
      Table_.estimate(Addresses, Query.Class_, Query.Work_, Query.Place_);
  std::vector<Option> Usable;
  std::vector<Microseconds> Completions;
  for (std::size_t I = 0; I < Estimates.size(); ++I) {
    if (Estimates[I].Leaving_)
      continue;
    Completions.push_back(Estimates[I].Completion_);
    if (!contains(Query.TriedTargets_, Query.Targets_[I]->Name_))
      Usable.push_back({Query.Targets_[I], Estimates[I]});
  }
  if (!Completions.empty()) {
    auto Middle = Completions.begin() +
                  static_cast<std::ptrdiff_t>((Completions.size() - 1) / 2);
    std::nth_element(Completions.begin(), Middle, Completions.end());
    Median = *Middle;
  }
  return Usable;
}

bool PredictedRouter::isLate(const Option &Candidate, const RouteQuery &Query,
                             Microseconds Median) const {
  if (Candidate.Estimate_.Avoided_)
    return true;
  Microseconds Completion = Candidate.Estimate_.Completion_;
  if (Completion > Query.TimeLeft_)
    return true;
  auto Tolerance = std::chrono::duration_cast<Microseconds>(
      std::chrono::duration<double, std::micro>(Median) *
      (Settings_.LateFactor_ - 1));
  Tolerance = std::min(Tolerance, Settings_.LateCeiling_);
  return Completion > Median + Tolerance + Settings_.LateFloor_;
}

std::vector<PredictedRouter::Option>
PredictedRouter::sampleTwo(std::vector<Option> Options) {
  // Avoided targets are sampled only when there is no other target.
  bool AnyNotAvoided =
      std::any_of(Options.begin(), Options.end(), [](const Option &Considered) {
        return !Considered.Estimate_.Avoided_;
      });
  if (AnyNotAvoided)
    std::erase_if(Options, [](const Option &Considered) {
      return Considered.Estimate_.Avoided_;
    });
  std::vector<Option> Sampled;
  std::lock_guard Lock(Mutex_);
  std::sample(Options.begin(), Options.end(), std::back_inserter(Sampled),
              CandidateCount, Random_);
  return Sampled;
}

} // namespace amaranth::coordination
