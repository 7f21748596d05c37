#include "Daemon/Components.h"

#include "Coordination/OpenAdmission.h"
#include "Coordination/PipelineEstimator.h"
#include "Coordination/PredictedRouter.h"
#include "Coordination/RandomRouter.h"
#include "Coordination/TargetProbe.h"

#include <random>

namespace amaranth::daemon {

namespace {

/// Idle connections of callers are closed after this time, which also bounds
/// how long a drained host waits for them. Longer than the idle lifetime at
/// clients of this code base, so that those close first.
constexpr Seconds CallerKeepAlive{8};

/// Part of the places that only short work uses.
constexpr double ShortShare = 0.4;

protocol::EtcdClientSettings
storeSettings(const state::DaemonSettings &Settings) {
  protocol::EtcdClientSettings Made;
  Made.Endpoints_ = Settings.KeyValueEndpoints_;
  return Made;
}

protocol::PeerClientSettings
peerClientSettings(const state::DaemonSettings &Settings) {
  protocol::PeerClientSettings Made;
  Made.FleetSecret_ = Settings.FleetSecret_;
  return Made;
}

protocol::PeerServerSettings
peerServerSettings(const state::DaemonSettings &Settings) {
  protocol::PeerServerSettings Made;
  Made.Address_ = Settings.PeerAddress_;
  Made.FleetSecret_ = Settings.FleetSecret_;
  return Made;
}

transport::HttpServerSettings
httpSettings(const state::DaemonSettings &Settings) {
  transport::HttpServerSettings Made;
  std::size_t Colon = Settings.CallerAddress_.rfind(':');
  Made.Address_ = Settings.CallerAddress_.substr(0, Colon);
  Made.Port_ = std::stoi(Settings.CallerAddress_.substr(Colon + 1));
  Made.MaxConnections_ = Settings.MaxConnections_;
  Made.KeepAliveTimeout_ = CallerKeepAlive;
  return Made;
}

std::unique_ptr<coordination::Router>
makeRouter(const state::DaemonSettings &Settings,
           coordination::TargetTable &Table) {
  if (Settings.BaselinePolicy_)
    return std::make_unique<coordination::RandomRouter>(Table,
                                                        std::random_device{}());
  return std::make_unique<coordination::PredictedRouter>(
      Table, coordination::PredictedRouterSettings{});
}

coordination::PipelineRunnerSettings
pipelineSettings(const state::DaemonSettings &Settings,
                 transport::HttpClient &Client) {
  coordination::PipelineRunnerSettings Made;
  Made.Answers_ = [&Client](const state::Target &Target) {
    return coordination::acceptsConnections(Client, Target);
  };
  Made.ProgressTimeout_ = Settings.ProgressTimeout_;
  Made.Hedge_ = !Settings.BaselinePolicy_;
  return Made;
}

coordination::PlainCallRunnerSettings
callSettings(const state::DaemonSettings &Settings) {
  coordination::PlainCallRunnerSettings Made;
  Made.ProgressTimeout_ = Settings.ProgressTimeout_;
  return Made;
}

std::unique_ptr<coordination::AdmissionPolicy>
makeAdmission(const state::DaemonSettings &Settings,
              coordination::TargetTable &Table,
              state::DocumentStore &Documents) {
  if (Settings.BaselinePolicy_)
    return std::make_unique<coordination::OpenAdmission>(Settings.MaxInFlight_);
  coordination::AdmissionSettings Made;
  Made.MaxShort_ = Settings.MaxInFlight_ * ShortShare;
  Made.MaxLong_ = Settings.MaxInFlight_ * (1 - ShortShare);
  Made.Estimate_ = [&Table, &Documents](const std::string &Service,
                                        double Tokens,
                                        coordination::SizeClass Class) {
    auto Document = Documents.find(Service);
    return Document ? estimatePipeline(Table, *Document, Tokens,
                                       coordination::queuePlace(Class))
                    : Microseconds{0};
  };
  return std::make_unique<coordination::Admission>(std::move(Made));
}

std::unique_ptr<coordination::AccountGossip>
makeAccountGossip(coordination::AdmissionPolicy &Policy) {
  auto *Limited = dynamic_cast<coordination::Admission *>(&Policy);
  if (!Limited)
    return nullptr;
  return std::make_unique<coordination::AccountGossip>(Limited->accounts());
}

std::vector<state::Target> reportingTargets(state::DocumentStore &Documents) {
  std::vector<state::Target> Targets;
  for (const auto &Service : Documents.services())
    for (const state::Target &Target : Service->Targets_)
      if (Target.ReportsLoad_)
        Targets.push_back(Target);
  return Targets;
}

coordination::LoadPollerSettings
loadSettings(const state::DaemonSettings &Settings) {
  coordination::LoadPollerSettings Made;
  Made.Period_ = Settings.LoadPollPeriod_;
  return Made;
}

coordination::HostListPollerSettings
hostListSettings(const state::DaemonSettings &Settings) {
  coordination::HostListPollerSettings Made;
  Made.Address_ = Settings.HostListAddress_;
  Made.Period_ = Settings.HostListPeriod_;
  return Made;
}

coordination::SessionSettings sessionSettings(const protocol::Member &Self) {
  coordination::SessionSettings Made;
  Made.Self_ = {Self.Host_, Self.DataCentre_, Self.CallerAddress_,
                Self.PeerAddress_, Self.Incarnation_};
  return Made;
}

coordination::MembershipSettings
membershipSettings(const state::DaemonSettings &Settings) {
  coordination::MembershipSettings Made;
  Made.ProbePeriod_ = Settings.ProbePeriod_;
  return Made;
}

coordination::ConfigurationSyncSettings
configurationSettings(const state::DaemonSettings &Settings) {
  coordination::ConfigurationSyncSettings Made;
  Made.IsolationLimit_ = Settings.IsolationLimit_;
  return Made;
}

/// The janitor passes rarely, so its lease is long.
coordination::LeaseSettings janitorLease() {
  coordination::LeaseSettings Made;
  Made.TimeToLive_ = Seconds{120};
  Made.RenewPeriod_ = Milliseconds{40000};
  Made.AttemptPeriod_ = Milliseconds{60000};
  Made.Margin_ = Milliseconds{15000};
  return Made;
}

coordination::JanitorSettings
janitorSettings(const state::DaemonSettings &Settings) {
  coordination::JanitorSettings Made;
  Made.TicketLifetime_ = Settings.TicketLifetime_;
  Made.Retention_ = Settings.Retention_;
  return Made;
}

/// Admits a keyed request at its home. Its place is given back at once: the
/// check is about the account's rate and the deadline.
std::optional<protocol::RequestOutcome>
admitKeyed(coordination::AdmissionPolicy &Policy,
           const state::DocumentStore &Documents,
           const protocol::ForwardedRequest &Request) {
  auto Document = Documents.find(Request.Service_);
  coordination::AdmissionRequest Asked;
  Asked.RequestId_ = Request.RequestId_;
  Asked.Service_ = Request.Service_;
  Asked.Account_ = Request.Account_;
  Asked.InputBytes_ = Request.Body_.size();
  Asked.Deadline_ = SteadyClock::now() + Request.Timeout_;
  if (Document)
    for (const state::ClientAccount &Account : Document->Accounts_)
      if (Account.Name_ == Request.Account_) {
        Asked.Weight_ = Account.Weight_;
        Asked.FleetLimit_ = Account.RequestsPerSecond_;
      }
  auto Decision = Policy.admit(Asked);
  if (Decision.Permit_)
    return std::nullopt;
  protocol::RequestOutcome Refused;
  Refused.Kind_ = protocol::OutcomeKind::NotRun;
  Refused.Status_ = Decision.Status_;
  Refused.Detail_ = Decision.Detail_;
  Refused.RetryAfter_ = Decision.RetryAfter_;
  return Refused;
}

coordination::OnceRunnerSettings
onceSettings(const state::DaemonSettings &Settings,
             coordination::AdmissionPolicy &Policy,
             const state::DocumentStore &Documents) {
  coordination::OnceRunnerSettings Made;
  Made.Admission_ = [&Policy,
                     &Documents](const protocol::ForwardedRequest &Request) {
    return admitKeyed(Policy, Documents, Request);
  };
  Made.FleetSecret_ = Settings.FleetSecret_;
  Made.TicketLifetime_ = Settings.TicketLifetime_;
  Made.Registry_.Retention_ = Settings.Retention_;
  return Made;
}

} // namespace

TransportComponents::TransportComponents(const state::DaemonSettings &Settings)
    : Metrics_(state::MetricsSettings{}), Arena_({}),
      Targets_(transport::HttpClientSettings{}), KeyValueCalls_(Metrics_),
      Store_(storeSettings(Settings), &KeyValueCalls_),
      Peers_(peerClientSettings(Settings), Loop_),
      PeerServer_(peerServerSettings(Settings), Loop_, Arena_, Endpoint_),
      Http_(httpSettings(Settings)) {}

PolicyComponents::PolicyComponents(const state::DaemonSettings &Settings,
                                   TransportComponents &Transport,
                                   state::DocumentStore &Documents)
    : Router_(makeRouter(Settings, Table_)),
      Budget_(coordination::RetryBudgetSettings{}),
      Spread_({}, Transport.Peers_, Transport.Arena_), Suspects_({}, &Spread_),
      Engines_(Transport.Targets_), Pools_(Transport.Targets_),
      Plain_(Transport.Targets_),
      Pipelines_({Engines_, Pools_, *Router_, Table_, Budget_, Statistics_,
                  Suspects_, Transport.Timers_},
                 pipelineSettings(Settings, Transport.Targets_)),
      Calls_({Plain_, *Router_, Table_, Budget_,
              [&Documents](const std::string &Service) {
                return Documents.find(Service);
              }},
             callSettings(Settings)),
      Admission_(makeAdmission(Settings, Table_, Documents)),
      Accounts_(makeAccountGossip(*Admission_)),
      LoadPoller_(
          Transport.Targets_, Transport.Timers_, Table_,
          [&Documents] { return reportingTargets(Documents); },
          loadSettings(Settings)),
      HostList_(Transport.Targets_, Transport.Timers_, Table_,
                hostListSettings(Settings)) {}

FleetComponents::FleetComponents(const state::DaemonSettings &Settings,
                                 const protocol::Member &Self,
                                 TransportComponents &Transport,
                                 PolicyComponents &Policy,
                                 state::DocumentStore &Documents)
    : Membership_(membershipSettings(Settings), Self, Transport.Peers_),
      Incarnations_(Membership_),
      Session_(sessionSettings(Self), Transport.Store_, &Incarnations_),
      Configuration_(configurationSettings(Settings),
                     {Transport.Store_, Transport.Peers_, Membership_,
                      Membership_, Documents, Transport.Arena_}),
      Once_(onceSettings(Settings, *Policy.Admission_, Documents),
            {Transport.Store_, Transport.Peers_, Membership_, Policy.Calls_,
             Session_}),
      JanitorDuty_(janitorLease(), "janitor", Self.Host_, Transport.Store_),
      Janitor_(janitorSettings(Settings), Transport.Store_, Membership_,
               [this] { return JanitorDuty_.holds(); }) {}

} // namespace amaranth::daemon
