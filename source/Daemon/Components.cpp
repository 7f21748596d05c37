#include "Daemon/Components.h"

#include "Coordination/OpenAdmission.h"
#include "Coordination/PipelineEstimator.h"
#include "Coordination/PredictedRouter.h"
#include "Coordination/RandomRouter.h"
#include "Coordination/TargetProbe.h"

#include <random>

namespace amaranth::daemon {

namespace {

/// Idle connections of callers are closed after this time, which is also the
/// longest time that a drained host waits for them. Longer than the idle
/// lifetime in the clients of this code base, so that the client closes first.
constexpr Seconds CallerKeepAlive{8};

/// Share of the in-flight limit that is reserved for short requests.
constexpr double ShortRequestShare = 0.4;

protocol::EtcdClientSettings
etcdClientSettings(const state::DaemonSettings &Settings) {
  protocol::EtcdClientSettings ClientSettings;
  ClientSettings.Endpoints_ = Settings.KeyValueEndpoints_;
  return ClientSettings;
}

protocol::PeerClientSettings
peerClientSettings(const state::DaemonSettings &Settings) {
  protocol::PeerClientSettings ClientSettings;
  ClientSettings.FleetSecret_ = Settings.FleetSecret_;
  return ClientSettings;
}

protocol::PeerServerSettings
peerServerSettings(const state::DaemonSettings &Settings) {
  protocol::PeerServerSettings ServerSettings;
  ServerSettings.Address_ = Settings.PeerAddress_;
  ServerSettings.FleetSecret_ = Settings.FleetSecret_;
  return ServerSettings;
}

transport::HttpServerSettings
httpServerSettings(const state::DaemonSettings &Settings) {
  transport::HttpServerSettings ServerSettings;
  std::size_t PortSeparator = Settings.CallerAddress_.rfind(':');
  ServerSettings.Address_ = Settings.CallerAddress_.substr(0, PortSeparator);
  ServerSettings.Port_ =
      std::stoi(Settings.CallerAddress_.substr(PortSeparator + 1));
  ServerSettings.MaxConnections_ = Settings.MaxConnections_;
  ServerSettings.KeepAliveTimeout_ = CallerKeepAlive;
  return ServerSettings;
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
pipelineRunnerSettings(const state::DaemonSettings &Settings,
                       transport::HttpClient &Client) {
  coordination::PipelineRunnerSettings RunnerSettings;
  RunnerSettings.Answers_ = [&Client](const state::Target &Target) {
    return coordination::acceptsConnections(Client, Target);
  };
  RunnerSettings.ProgressTimeout_ = Settings.ProgressTimeout_;
  RunnerSettings.Hedge_ = !Settings.BaselinePolicy_;
  return RunnerSettings;
}

coordination::PlainCallRunnerSettings
plainCallRunnerSettings(const state::DaemonSettings &Settings) {
  coordination::PlainCallRunnerSettings RunnerSettings;
  RunnerSettings.ProgressTimeout_ = Settings.ProgressTimeout_;
  return RunnerSettings;
}

std::unique_ptr<coordination::AdmissionPolicy>
makeAdmission(const state::DaemonSettings &Settings,
              coordination::TargetTable &Table,
              state::DocumentStore &Documents) {
  if (Settings.BaselinePolicy_)
    return std::make_unique<coordination::OpenAdmission>(Settings.MaxInFlight_);
  coordination::AdmissionSettings AdmissionSettings;
  AdmissionSettings.MaxShort_ = Settings.MaxInFlight_ * ShortRequestShare;
  AdmissionSettings.MaxLong_ = Settings.MaxInFlight_ * (1 - ShortRequestShare);
  AdmissionSettings.Estimate_ =
      [&Table, &Documents](const std::string &Service, double Tokens,
                           coordination::SizeClass Class) {
        auto Document = Documents.find(Service);
        return Document ? estimatePipeline(Table, *Document, Tokens,
                                           coordination::queuePlace(Class))
                        : Microseconds{0};
      };
  return std::make_unique<coordination::Admission>(
      std::move(AdmissionSettings));
}

std::unique_ptr<coordination::AccountGossip>
makeAccountGossip(coordination::AdmissionPolicy &Policy) {
  auto *LimitingPolicy = dynamic_cast<coordination::Admission *>(&Policy);
  if (!LimitingPolicy)
    return nullptr;
  return std::make_unique<coordination::AccountGossip>(
      LimitingPolicy->accounts());
}

std::vector<state::Target>
loadReportingTargets(state::DocumentStore &Documents) {
  std::vector<state::Target> Targets;
  for (const auto &Service : Documents.services())
    for (const state::Target &Target : Service->Targets_)
      if (Target.ReportsLoad_)
        Targets.push_back(Target);
  return Targets;
}

coordination::LoadPollerSettings
loadPollerSettings(const state::DaemonSettings &Settings) {
  coordination::LoadPollerSettings PollerSettings;
  PollerSettings.Period_ = Settings.LoadPollPeriod_;
  return PollerSettings;
}

coordination::HostListPollerSettings
hostListPollerSettings(const state::DaemonSettings &Settings) {
  coordination::HostListPollerSettings PollerSettings;
  PollerSettings.Address_ = Settings.HostListAddress_;
  PollerSettings.Period_ = Settings.HostListPeriod_;
  return PollerSettings;
}

coordination::SessionSettings sessionSettings(const protocol::Member &Self) {
  coordination::SessionSettings SessionSettings;
  SessionSettings.Self_ = {Self.Host_, Self.DataCentre_, Self.CallerAddress_,
                           Self.PeerAddress_, Self.Incarnation_};
  return SessionSettings;
}

coordination::MembershipSettings
membershipSettings(const state::DaemonSettings &Settings) {
  coordination::MembershipSettings MembershipSettings;
  MembershipSettings.ProbePeriod_ = Settings.ProbePeriod_;
  return MembershipSettings;
}

coordination::ConfigurationSyncSettings
configurationSyncSettings(const state::DaemonSettings &Settings) {
  coordination::ConfigurationSyncSettings SyncSettings;
  SyncSettings.IsolationLimit_ = Settings.IsolationLimit_;
  return SyncSettings;
}

/// Janitor passes are rare, so a long lease that is seldom renewed is enough.
coordination::LeaseSettings janitorLeaseSettings() {
  coordination::LeaseSettings LeaseSettings;
  LeaseSettings.TimeToLive_ = Seconds{120};
  LeaseSettings.RenewPeriod_ = Milliseconds{40000};
  LeaseSettings.AttemptPeriod_ = Milliseconds{60000};
  LeaseSettings.Margin_ = Milliseconds{15000};
  return LeaseSettings;
}

coordination::JanitorSettings
janitorSettings(const state::DaemonSettings &Settings) {
  coordination::JanitorSettings JanitorSettings;
  JanitorSettings.TicketLifetime_ = Settings.TicketLifetime_;
  JanitorSettings.Retention_ = Settings.Retention_;
  return JanitorSettings;
}

/// Decides at the home of an idempotency key (the daemon incarnation that alone
/// may run the key's request) whether the request is admitted. The permit is
/// released at once, because only the account's rate and the deadline are
/// checked.
std::optional<protocol::RequestOutcome>
admitAtHome(coordination::AdmissionPolicy &Policy,
            const state::DocumentStore &Documents,
            const protocol::ForwardedRequest &Request) {
  auto Document = Documents.find(Request.Service_);
  coordination::AdmissionRequest Candidate;
  Candidate.RequestId_ = Request.RequestId_;
  Candidate.Service_ = Request.Service_;
  Candidate.Account_ = Request.Account_;
  Candidate.InputBytes_ = Request.Body_.size();
  Candidate.Deadline_ = SteadyClock::now() + Request.Timeout_;
  if (Document)
    for (const state::ClientAccount &Account : Document->Accounts_)
      if (Account.Name_ == Request.Account_) {
        Candidate.Weight_ = Account.Weight_;
        Candidate.FleetLimit_ = Account.RequestsPerSecond_;
      }
  auto Decision = Policy.admit(Candidate);
  if (Decision.Permit_)
    return std::nullopt;
  protocol::RequestOutcome Refusal;
  Refusal.Kind_ = protocol::OutcomeKind::NotRun;
  Refusal.Status_ = Decision.Status_;
  Refusal.Detail_ = Decision.Detail_;
  Refusal.RetryAfter_ = Decision.RetryAfter_;
  return Refusal;
}

coordination::OnceRunnerSettings
onceRunnerSettings(const state::DaemonSettings &Settings,
                   coordination::AdmissionPolicy &Policy,
                   const state::DocumentStore &Documents) {
  coordination::OnceRunnerSettings RunnerSettings;
  RunnerSettings.Admission_ =
      [&Policy, &Documents](const protocol::ForwardedRequest &Request) {
        return admitAtHome(Policy, Documents, Request);
      };
  RunnerSettings.FleetSecret_ = Settings.FleetSecret_;
  RunnerSettings.TicketLifetime_ = Settings.TicketLifetime_;
  RunnerSettings.Registry_.Retention_ = Settings.Retention_;
  return RunnerSettings;
}

} // namespace

TransportComponents::TransportComponents(const state::DaemonSettings &Settings)
    : Metrics_(state::MetricsSettings{}), WorkArena_({}),
      TargetClient_(transport::HttpClientSettings{}), KeyValueCalls_(Metrics_),
      KeyValueStore_(etcdClientSettings(Settings), &KeyValueCalls_),
      PeerClient_(peerClientSettings(Settings), RpcLoop_),
      PeerServer_(peerServerSettings(Settings), RpcLoop_, WorkArena_,
                  PeerEndpoint_),
      HttpServer_(httpServerSettings(Settings)) {}

PolicyComponents::PolicyComponents(const state::DaemonSettings &Settings,
                                   TransportComponents &Transport,
                                   state::DocumentStore &Documents)
    : Router_(makeRouter(Settings, TargetTable_)),
      RetryBudget_(coordination::RetryBudgetSettings{}),
      SuspectSpread_({}, Transport.PeerClient_, Transport.WorkArena_),
      SuspectRegistry_({}, &SuspectSpread_),
      EngineClient_(Transport.TargetClient_),
      PoolClient_(Transport.TargetClient_),
      PlainServiceClient_(Transport.TargetClient_),
      PipelineRunner_(
          {EngineClient_, PoolClient_, *Router_, TargetTable_, RetryBudget_,
           StageStatistics_, SuspectRegistry_, Transport.Timers_},
          pipelineRunnerSettings(Settings, Transport.TargetClient_)),
      PlainCallRunner_({PlainServiceClient_, *Router_, TargetTable_,
                        RetryBudget_,
                        [&Documents](const std::string &Service) {
                          return Documents.find(Service);
                        }},
                       plainCallRunnerSettings(Settings)),
      AdmissionPolicy_(makeAdmission(Settings, TargetTable_, Documents)),
      AccountGossip_(makeAccountGossip(*AdmissionPolicy_)),
      LoadPoller_(
          Transport.TargetClient_, Transport.Timers_, TargetTable_,
          [&Documents] { return loadReportingTargets(Documents); },
          loadPollerSettings(Settings)),
      HostListPoller_(Transport.TargetClient_, Transport.Timers_, TargetTable_,
                      hostListPollerSettings(Settings)) {}

FleetComponents::FleetComponents(const state::DaemonSettings &Settings,
                                 const protocol::Member &Self,
                                 TransportComponents &Transport,
                                 PolicyComponents &Policy,
                                 state::DocumentStore &Documents)
    : Membership_(membershipSettings(Settings), Self, Transport.PeerClient_),
      IncarnationFollower_(Membership_),
      Session_(sessionSettings(Self), Transport.KeyValueStore_,
               &IncarnationFollower_),
      ConfigurationSync_(configurationSyncSettings(Settings),
                         {Transport.KeyValueStore_, Transport.PeerClient_,
                          Membership_, Membership_, Documents,
                          Transport.WorkArena_}),
      OnceRunner_(
          onceRunnerSettings(Settings, *Policy.AdmissionPolicy_, Documents),
          {Transport.KeyValueStore_, Transport.PeerClient_, Membership_,
           Policy.PlainCallRunner_, Session_}),
      JanitorLease_(janitorLeaseSettings(), "janitor", Self.Host_,
                    Transport.KeyValueStore_),
      Janitor_(janitorSettings(Settings), Transport.KeyValueStore_, Membership_,
               [this] { return JanitorLease_.holds(); }) {}

} // namespace amaranth::daemon
