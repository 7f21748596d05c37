#include "Coordination/TargetProbe.h"

namespace amaranth::coordination {

namespace {

constexpr Milliseconds ProbeTimeout{300};

} // namespace

bool acceptsConnections(transport::HttpClient &Client,
                        const state::Target &Target) {
  transport::HttpCall Call;
  Call.Address_ = Target.Address_;
  Call.Method_ = "GET";
  Call.Path_ = "/v1/load";
  Call.Deadline_ = SteadyClock::now() + ProbeTimeout;
  Call.ProgressTimeout_ = ProbeTimeout;
  Call.FreshConnection_ = true;
  transport::HttpOutcome Outcome = Client.call(Call);
  return Outcome.Ok_ || Outcome.Failure_ != transport::CallFailure::NotSent;
}

} // namespace amaranth::coordination
