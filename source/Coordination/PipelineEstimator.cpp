#include "Coordination/PipelineEstimator.h"

#include <algorithm>

namespace amaranth::coordination {

Microseconds estimatePipeline(TargetTable &Table,
                              const state::ServiceDocument &Document,
                              double Tokens, QueuePlace Place) {
  Microseconds Total{0};
  for (const state::Stage &Stage : Document.Stages_) {
    std::vector<std::string> Addresses;
    for (const std::string &Name : Stage.Targets_)
      if (const state::Target *Found = Document.findTarget(Name))
        Addresses.push_back(Found->Address_);
    std::vector<Microseconds> Completions;
    double Work = stageWork(Stage.Kind_, Tokens);
    for (const TargetEstimate &Estimate :
         Table.estimate(Addresses, workClass(Stage.Kind_), Work, Place))
      if (!Estimate.Leaving_ && !Estimate.Avoided_)
        Completions.push_back(Estimate.Completion_);
    if (Completions.empty())
      continue;
    // The router takes the better of two candidates, which on average is at the
    // lower third of all targets.
    auto LowerThird = Completions.begin() +
                      static_cast<std::ptrdiff_t>(Completions.size() / 3);
    std::nth_element(Completions.begin(), LowerThird, Completions.end());
    Total += *LowerThird;
  }
  return Total;
}

} // namespace amaranth::coordination
