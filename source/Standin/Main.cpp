/// \file
/// amaranth-standin: stand-ins for the platform and for targets, used by tests
/// and the demo.

#include "Standin/Arguments.h"
#include "Standin/EngineStandin.h"
#include "Standin/KeyValueStandin.h"
#include "Standin/PoolStandin.h"
#include "Standin/ProxyStandin.h"
#include "Standin/ServiceStandin.h"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>

using namespace amaranth;
using namespace amaranth::standin;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "Usage: amaranth-standin kv|engine|pool|service|proxy [options]\n"
    "       amaranth-standin <subcommand> --help\n"
    "\n"
    "  kv       key-value service (etcd v3 API as HTTP/JSON) and host list\n"
    "  engine   model engine with streamed completions\n"
    "  pool     encoders, retrievers and rerankers\n"
    "  service  plain service that records its executions\n"
    "  proxy    TCP proxy that injects network faults\n"
    "\n"
    "Examples:\n"
    "  amaranth-standin kv --port 2379\n"
    "  amaranth-standin engine --count 12 --slots 8 --token-us 5000\n";

/// Control routes of every subcommand.
constexpr const char *CommonControl =
    "  GET, PUT /standin/switches     read or set fault switches\n"
    "  GET, DELETE /standin/counters  calls by kind\n"
    "Fault switches (counts: 0 none, N the next N calls, -1 all):\n";

constexpr const char *KeyValueControl =
    "  outage            true answers /v3 with 503 and cuts watches\n"
    "  hang              true accepts /v3 calls but never answers them\n"
    "  delay_ms          added to every /v3 call\n"
    "Further routes:\n"
    "  PUT /standin/lost-replies {\"key_prefix\",\"count\"}  apply the next\n"
    "      writes under the prefix and cut the connection\n"
    "  GET /standin/keys  all pairs\n"
    "  PUT /v1/hosts      set the host list\n";

constexpr const char *TargetControl =
    "  slow_factor       multiplies every service time\n"
    "  leaving           true refuses new work with 503 and X-Leaving\n"
    "  silent            count of calls neither executed nor answered\n";

constexpr const char *EngineControl =
    "  cut_after_tokens     cut every stream after N tokens; -1 off\n"
    "  silent_after_tokens  stop sending after N tokens; -1 off\n"
    "Further routes:\n"
    "  GET /standin/orders  every order received\n"
    "  GET /standin/state   running, queued and cancelled completions\n";

constexpr const char *ServiceControl =
    "  delay_ms          added before the execution\n"
    "  late_ms           added between the execution and the answer\n"
    "  drop_replies      count of calls cut after the execution\n"
    "  silent_after      count of calls left unanswered after the execution\n"
    "  stale_replies     count of calls answered with the previous answer\n"
    "Further routes:\n"
    "  GET /standin/executions  every executed call\n";

constexpr const char *ProxyControl =
    "  refuse               true refuses new connections\n"
    "  blackhole            true accepts new connections but forwards nothing\n"
    "  drop_replies         true discards bytes to clients\n"
    "  delay_ms             added to each read in both directions\n"
    "  cut_after_to_target  cut a connection after N bytes; -1 off\n"
    "  cut_after_to_client  the same for replies\n"
    "Further routes:\n"
    "  POST /standin/cut             cut all connections\n"
    "  POST /standin/freeze          stop forwarding on the open connections\n"
    "  POST /standin/duplicate-last  send the last request again\n"
    "  GET /standin/connections      accepted, open and frozen\n";

using Instances = std::vector<std::unique_ptr<Standin>>;

/// The stand-ins that a subcommand creates from its arguments, or an exit code
/// if the program should exit now.
struct SubcommandSetup {
  std::optional<int> ExitCode_;
  Instances Instances_;
  bool EndWithStdin_ = false;
};

/// Options of every subcommand.
struct CommonOptions {
  int Port_ = 0;
  int Count_ = 1;
  int Connections_ = 512;
  bool EndWithStdin_ = false;
};

void addCommonOptions(Arguments &Options, CommonOptions &Common) {
  Options.addInteger("port", Common.Port_,
                     "Port on 127.0.0.1; 0 lets the system choose");
  Options.addInteger("max-connections", Common.Connections_,
                     "Connections that an instance serves at once", 1);
  Options.addFlag("end-with-stdin", Common.EndWithStdin_,
                  "Exit when standard input closes");
}

void addCountOption(Arguments &Options, CommonOptions &Common) {
  Options.addInteger(
      "count", Common.Count_,
      "Instances in this process, on consecutive ports if --port "
      "is given",
      1);
}

/// The exit code if the ports of all instances do not fit the valid range.
std::optional<int> checkPortRange(const CommonOptions &Common) {
  constexpr int MaxPort = 65535;
  if (Common.Port_ + Common.Count_ - 1 <= MaxPort)
    return std::nullopt;
  std::fprintf(stderr, "amaranth-standin: --port is out of range: the "
                       "ports of all instances must be at most 65535\n");
  return ExitUsage;
}

StandinServerSettings serverSettings(const CommonOptions &Common, int Index) {
  int Port = Common.Port_ == 0 ? 0 : Common.Port_ + Index;
  return {Port, Common.Connections_};
}

template <typename StandinType, typename Settings>
SubcommandSetup createInstances(const CommonOptions &Common,
                                Settings InstanceSettings) {
  SubcommandSetup Created;
  Created.EndWithStdin_ = Common.EndWithStdin_;
  for (int Index = 0; Index < Common.Count_; ++Index) {
    InstanceSettings.Server_ = serverSettings(Common, Index);
    Created.Instances_.push_back(
        std::make_unique<StandinType>(InstanceSettings));
  }
  return Created;
}

std::optional<int> parse(Arguments &Options, const CommonOptions &Common,
                         int ArgumentCount, const char **ArgumentValues) {
  if (auto ExitCode = Options.parse(ArgumentCount, ArgumentValues))
    return ExitCode;
  return checkPortRange(Common);
}

SubcommandSetup createKeyValue(int ArgumentCount, const char **ArgumentValues) {
  CommonOptions Common;
  KeyValueSettings Settings;
  int LagMs = 0;
  Arguments Options("amaranth-standin kv",
                    std::string(CommonControl) + KeyValueControl,
                    "  amaranth-standin kv --port 2379 --host-list-lag-ms "
                    "2000\n");
  addCommonOptions(Options, Common);
  Options.addInteger("host-list-lag-ms", LagMs,
                     "Time until a new host list is visible");
  Options.addInteger("history", Settings.HistoryLimit_,
                     "Revisions kept for watches", 1);
  Options.addInteger("reads-per-second", Settings.ReadsPerSecond_,
                     "Sustained rate of range calls; 0 for no limit");
  Options.addInteger("writes-per-second", Settings.WritesPerSecond_,
                     "Sustained rate of all other calls; 0 for no limit");
  if (auto ExitCode = parse(Options, Common, ArgumentCount, ArgumentValues))
    return {ExitCode, {}, false};
  Settings.HostListLag_ = Milliseconds{LagMs};
  return createInstances<KeyValueStandin>(Common, Settings);
}

SubcommandSetup createEngine(int ArgumentCount, const char **ArgumentValues) {
  CommonOptions Common;
  EngineSettings Settings;
  int TokenUs = static_cast<int>(Settings.TokenTime_.count());
  int PrefillUs = static_cast<int>(Settings.PrefillTokenTime_.count());
  int LagMs = 0;
  Arguments Options("amaranth-standin engine",
                    std::string(CommonControl) + TargetControl + EngineControl,
                    "  amaranth-standin engine --count 12 --slots 8\n"
                    "  amaranth-standin engine --crash-marker CRASH-NOW\n");
  addCommonOptions(Options, Common);
  addCountOption(Options, Common);
  Options.addInteger("slots", Settings.Slots_, "Requests in the batch", 1);
  Options.addInteger("token-us", TokenUs, "Microseconds for each output token");
  Options.addInteger("prefill-us", PrefillUs,
                     "Microseconds for each prompt token that is not cached");
  Options.addInteger("cache-tokens", Settings.CacheTokens_,
                     "Capacity of the prefix cache");
  Options.addInteger("load-lag-ms", LagMs, "Age of load reports");
  Options.addFlag("check-fencing", Settings.ChecksFencing_,
                  "Refuse orders with a stale fencing number");
  Options.addText("model", Settings.Model_, "Model loaded at start");
  Options.addText("role", Settings.Role_, "Role at start");
  Options.addText(
      "crash-marker", Settings.CrashMarker_,
      "Exit when a prompt contains this text; single instance only");
  if (auto ExitCode = parse(Options, Common, ArgumentCount, ArgumentValues))
    return {ExitCode, {}, false};
  if (!Settings.CrashMarker_.empty() && Common.Count_ > 1) {
    std::fprintf(stderr, "amaranth-standin engine: --crash-marker needs "
                         "--count 1, because it ends the whole process\n");
    return {ExitUsage, {}, false};
  }
  Settings.TokenTime_ = Microseconds{TokenUs};
  Settings.PrefillTokenTime_ = Microseconds{PrefillUs};
  Settings.LoadLag_ = Milliseconds{LagMs};
  return createInstances<EngineStandin>(Common, Settings);
}

/// Creates pools or plain services, which have the same options.
template <typename StandinType, typename Settings>
SubcommandSetup createFixedTimeTarget(const std::string &Program,
                                      const std::string &ControlHelp,
                                      int ArgumentCount,
                                      const char **ArgumentValues) {
  CommonOptions Common;
  Settings InstanceSettings;
  int ServiceUs = static_cast<int>(InstanceSettings.ServiceTime_.count());
  int LagMs = 0;
  Arguments Options(Program, CommonControl + ControlHelp,
                    "  " + Program + " --count 5 --service-us 2000\n");
  addCommonOptions(Options, Common);
  addCountOption(Options, Common);
  Options.addInteger("slots", InstanceSettings.Slots_, "Calls served at once",
                     1);
  Options.addInteger("service-us", ServiceUs, "Microseconds for each call");
  Options.addInteger("load-lag-ms", LagMs, "Age of load reports");
  if (auto ExitCode = parse(Options, Common, ArgumentCount, ArgumentValues))
    return {ExitCode, {}, false};
  InstanceSettings.ServiceTime_ = Microseconds{ServiceUs};
  InstanceSettings.LoadLag_ = Milliseconds{LagMs};
  return createInstances<StandinType>(Common, InstanceSettings);
}

/// Parses an address; prints an error message and returns nothing on failure.
std::optional<SocketAddress> readAddress(const std::string &Text) {
  auto Address = capture([&] { return parseLoopback(Text); });
  if (Address)
    return *Address;
  std::fprintf(stderr, "amaranth-standin proxy: %s\n",
               Address.error().Message_.c_str());
  return std::nullopt;
}

SubcommandSetup createProxy(int ArgumentCount, const char **ArgumentValues) {
  CommonOptions Common;
  std::string ListenText = "127.0.0.1:0";
  std::string TargetText;
  Arguments Options("amaranth-standin proxy",
                    std::string(CommonControl) + ProxyControl,
                    "  amaranth-standin proxy --to 127.0.0.1:9000\n"
                    "  amaranth-standin proxy --listen 127.0.0.1:9001 --to "
                    "127.0.0.1:9000 --port 9002\n");
  Options.addText("listen", ListenText,
                  "IP:PORT for clients (default 127.0.0.1:0)");
  Options.addText("to", TargetText, "IP:PORT of the target");
  addCommonOptions(Options, Common);
  if (auto ExitCode = parse(Options, Common, ArgumentCount, ArgumentValues))
    return {ExitCode, {}, false};
  auto ListenAddress = readAddress(ListenText);
  auto TargetAddress = readAddress(TargetText);
  if (!ListenAddress || !TargetAddress)
    return {ExitUsage, {}, false};
  SubcommandSetup Created;
  Created.EndWithStdin_ = Common.EndWithStdin_;
  Created.Instances_.push_back(std::make_unique<ProxyStandin>(ProxySettings{
      *ListenAddress, *TargetAddress, Common.Port_, Common.Connections_}));
  return Created;
}

SubcommandSetup createSubcommand(const std::string &SubcommandName,
                                 int ArgumentCount,
                                 const char **ArgumentValues) {
  if (SubcommandName == "kv")
    return createKeyValue(ArgumentCount, ArgumentValues);
  if (SubcommandName == "engine")
    return createEngine(ArgumentCount, ArgumentValues);
  if (SubcommandName == "pool")
    return createFixedTimeTarget<PoolStandin, PoolSettings>(
        "amaranth-standin pool", TargetControl, ArgumentCount, ArgumentValues);
  if (SubcommandName == "service")
    return createFixedTimeTarget<ServiceStandin, ServiceSettings>(
        "amaranth-standin service", std::string(TargetControl) + ServiceControl,
        ArgumentCount, ArgumentValues);
  if (SubcommandName == "proxy")
    return createProxy(ArgumentCount, ArgumentValues);
  if (SubcommandName == "--help" || SubcommandName == "-?") {
    std::fputs(Usage, stdout);
    return {0, {}, false};
  }
  if (SubcommandName == "--version") {
    std::printf("amaranth-standin %s\n", AMARANTH_VERSION);
    return {0, {}, false};
  }
  std::fprintf(stderr, "amaranth-standin: unknown subcommand: %s\n%s",
               SubcommandName.c_str(), Usage);
  return {ExitUsage, {}, false};
}

/// Blocks the signals that terminate the process. Must run before any thread
/// is started, so that all threads inherit the mask.
sigset_t blockTerminationSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t TerminationSignals;
  sigemptyset(&TerminationSignals);
  sigaddset(&TerminationSignals, SIGTERM);
  sigaddset(&TerminationSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &TerminationSignals, nullptr);
  return TerminationSignals;
}

/// Sends SIGTERM to this process when standard input closes, so that stand-ins
/// exit with the test that started them even if it crashes.
void terminateWhenStdinCloses() {
  std::thread([] {
    std::array<char, 256> Ignored{};
    while (read(STDIN_FILENO, Ignored.data(), Ignored.size()) > 0) {
    }
    kill(getpid(), SIGTERM);
  }).detach();
}

bool startAndAnnounce(Standin &Instance) {
  auto Started = capture([&] { return Instance.start(); });
  if (!Started) {
    std::fprintf(stderr, "amaranth-standin: %s\n",
                 Started.error().Message_.c_str());
    return false;
  }
  for (const Announcement &Announced : Instance.announcements())
    std::printf("listening %s 127.0.0.1:%d\n", Announced.Name_.c_str(),
                Announced.Port_);
  std::fflush(stdout);
  return true;
}

} // namespace

int main(int ArgumentCount, const char **ArgumentValues) {
  if (ArgumentCount < 2) {
    std::fputs(Usage, stderr);
    return ExitUsage;
  }
  sigset_t TerminationSignals = blockTerminationSignals();
  SubcommandSetup Created = createSubcommand(
      ArgumentValues[1], ArgumentCount - 1, ArgumentValues + 1);
  if (Created.ExitCode_)
    return *Created.ExitCode_;
  for (auto &Instance : Created.Instances_)
    if (!startAndAnnounce(*Instance))
      return ExitFailure;
  if (Created.EndWithStdin_)
    terminateWhenStdinCloses();
  int Signal = 0;
  sigwait(&TerminationSignals, &Signal);
  for (auto &Instance : Created.Instances_)
    Instance->stop();
  return 0;
}
