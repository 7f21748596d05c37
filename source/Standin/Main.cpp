/// \file
/// Stand-ins of the platform and of targets, for tests and the demo.

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
    "  hang              true accepts /v3 calls and never answers them\n"
    "  delay_ms          added to every /v3 call\n"
    "Further routes:\n"
    "  PUT /standin/lost-replies {\"key_prefix\",\"count\"}  apply the next\n"
    "      writes under the prefix and cut the connection\n"
    "  GET /standin/keys  all pairs\n"
    "  PUT /v1/hosts      set the host list\n";

constexpr const char *TargetControl =
    "  slow_factor       multiplies every service time\n"
    "  leaving           true refuses new work with 503 and X-Leaving\n"
    "  silent            count of calls taken without effect or answer\n";

constexpr const char *EngineControl =
    "  cut_after_tokens     cut every stream after N tokens; -1 off\n"
    "  silent_after_tokens  no more bytes after N tokens; -1 off\n"
    "Further routes:\n"
    "  GET /standin/orders  every order received\n"
    "  GET /standin/state   running, queued and cancelled completions\n";

constexpr const char *ServiceControl =
    "  delay_ms          added before the effect\n"
    "  late_ms           added between the effect and the answer\n"
    "  drop_replies      count of calls cut after the effect\n"
    "  silent_after      count of calls left unanswered after the effect\n"
    "  stale_replies     count of calls answered with the previous answer\n"
    "Further routes:\n"
    "  GET /standin/executions  every effect\n";

constexpr const char *ProxyControl =
    "  refuse               true refuses new connections\n"
    "  blackhole            true accepts new connections that stay silent\n"
    "  drop_replies         true discards bytes to clients\n"
    "  delay_ms             added to each read in both directions\n"
    "  cut_after_to_target  cut a connection after N bytes; -1 off\n"
    "  cut_after_to_client  the same for replies\n"
    "Further routes:\n"
    "  POST /standin/cut             cut all connections\n"
    "  POST /standin/freeze          silence the open connections for good\n"
    "  POST /standin/duplicate-last  send the last request again\n"
    "  GET /standin/connections      accepted, open and frozen\n";

using Instances = std::vector<std::unique_ptr<Standin>>;

/// What a subcommand built from its arguments, or the exit code.
struct Setup {
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

void addCommon(Arguments &Options, CommonOptions &Common) {
  Options.integer("port", Common.Port_,
                  "Port on 127.0.0.1; 0 lets the system choose");
  Options.integer("max-connections", Common.Connections_,
                  "Connections that an instance serves at once", 1);
  Options.flag("end-with-stdin", Common.EndWithStdin_,
               "Exit when standard input closes");
}

void addCount(Arguments &Options, CommonOptions &Common) {
  Options.integer("count", Common.Count_,
                  "Instances in this process, on consecutive ports if --port "
                  "is given",
                  1);
}

/// A usage error, or nothing.
std::optional<int> checkCommon(const CommonOptions &Common) {
  constexpr int MaxPort = 65535;
  if (Common.Port_ + Common.Count_ - 1 <= MaxPort)
    return std::nullopt;
  std::fprintf(stderr, "amaranth-standin: --port is out of range\n");
  return ExitUsage;
}

StandinServerSettings serverSettings(const CommonOptions &Common, int Index) {
  int Port = Common.Port_ == 0 ? 0 : Common.Port_ + Index;
  return {Port, Common.Connections_};
}

template <typename Kind, typename Settings>
Setup instantiate(const CommonOptions &Common, Settings Base) {
  Setup Made;
  Made.EndWithStdin_ = Common.EndWithStdin_;
  for (int Index = 0; Index < Common.Count_; ++Index) {
    Base.Server_ = serverSettings(Common, Index);
    Made.Instances_.push_back(std::make_unique<Kind>(Base));
  }
  return Made;
}

std::optional<int> parse(Arguments &Options, const CommonOptions &Common,
                         int Count, const char **Values) {
  if (auto Code = Options.parse(Count, Values))
    return Code;
  return checkCommon(Common);
}

Setup makeKeyValue(int Count, const char **Values) {
  CommonOptions Common;
  KeyValueSettings Settings;
  int LagMs = 0;
  Arguments Options("amaranth-standin kv",
                    std::string(CommonControl) + KeyValueControl,
                    "  amaranth-standin kv --port 2379 --host-list-lag-ms "
                    "2000\n");
  addCommon(Options, Common);
  Options.integer("host-list-lag-ms", LagMs,
                  "Time until a new host list is visible");
  Options.integer("history", Settings.HistoryLimit_,
                  "Revisions kept for watches", 1);
  Options.integer("reads-per-second", Settings.ReadsPerSecond_,
                  "Sustained rate of range calls; 0 for no limit");
  Options.integer("writes-per-second", Settings.WritesPerSecond_,
                  "Sustained rate of all other calls; 0 for no limit");
  if (auto Code = parse(Options, Common, Count, Values))
    return {Code, {}, false};
  Settings.HostListLag_ = Milliseconds{LagMs};
  return instantiate<KeyValueStandin>(Common, Settings);
}

Setup makeEngine(int Count, const char **Values) {
  CommonOptions Common;
  EngineSettings Settings;
  int TokenUs = static_cast<int>(Settings.TokenTime_.count());
  int PrefillUs = static_cast<int>(Settings.PrefillTokenTime_.count());
  int LagMs = 0;
  Arguments Options("amaranth-standin engine",
                    std::string(CommonControl) + TargetControl + EngineControl,
                    "  amaranth-standin engine --count 12 --slots 8\n"
                    "  amaranth-standin engine --crash-marker CRASH-NOW\n");
  addCommon(Options, Common);
  addCount(Options, Common);
  Options.integer("slots", Settings.Slots_, "Requests in the batch", 1);
  Options.integer("token-us", TokenUs, "Microseconds for each output token");
  Options.integer("prefill-us", PrefillUs,
                  "Microseconds for each prompt token that is not cached");
  Options.integer("cache-tokens", Settings.CacheTokens_,
                  "Capacity of the prefix cache");
  Options.integer("load-lag-ms", LagMs, "Age of load reports");
  Options.flag("check-fencing", Settings.ChecksFencing_,
               "Refuse orders with a stale fencing number");
  Options.text("model", Settings.Model_, "Model loaded at start");
  Options.text("role", Settings.Role_, "Role at start");
  Options.text("crash-marker", Settings.CrashMarker_,
               "Exit when a prompt contains this text; single instance only");
  if (auto Code = parse(Options, Common, Count, Values))
    return {Code, {}, false};
  if (!Settings.CrashMarker_.empty() && Common.Count_ > 1) {
    std::fprintf(stderr, "amaranth-standin engine: --crash-marker needs "
                         "--count 1, because it ends the whole process\n");
    return {ExitUsage, {}, false};
  }
  Settings.TokenTime_ = Microseconds{TokenUs};
  Settings.PrefillTokenTime_ = Microseconds{PrefillUs};
  Settings.LoadLag_ = Milliseconds{LagMs};
  return instantiate<EngineStandin>(Common, Settings);
}

/// Pools and plain services take the same options.
template <typename Kind, typename Settings>
Setup makeTimed(const std::string &Program, const std::string &Control,
                int Count, const char **Values) {
  CommonOptions Common;
  Settings Base;
  int ServiceUs = static_cast<int>(Base.ServiceTime_.count());
  int LagMs = 0;
  Arguments Options(Program, CommonControl + Control,
                    "  " + Program + " --count 5 --service-us 2000\n");
  addCommon(Options, Common);
  addCount(Options, Common);
  Options.integer("slots", Base.Slots_, "Calls served at once", 1);
  Options.integer("service-us", ServiceUs, "Microseconds for each call");
  Options.integer("load-lag-ms", LagMs, "Age of load reports");
  if (auto Code = parse(Options, Common, Count, Values))
    return {Code, {}, false};
  Base.ServiceTime_ = Microseconds{ServiceUs};
  Base.LoadLag_ = Milliseconds{LagMs};
  return instantiate<Kind>(Common, Base);
}

/// The address, or nothing after an error message.
std::optional<SocketAddress> readAddress(const std::string &Text) {
  auto Address = capture([&] { return parseLoopback(Text); });
  if (Address)
    return *Address;
  std::fprintf(stderr, "amaranth-standin proxy: %s\n",
               Address.error().Message_.c_str());
  return std::nullopt;
}

Setup makeProxy(int Count, const char **Values) {
  CommonOptions Common;
  std::string Listen = "127.0.0.1:0";
  std::string To;
  Arguments Options("amaranth-standin proxy",
                    std::string(CommonControl) + ProxyControl,
                    "  amaranth-standin proxy --to 127.0.0.1:9000\n"
                    "  amaranth-standin proxy --listen 127.0.0.1:9001 --to "
                    "127.0.0.1:9000 --port 9002\n");
  Options.text("listen", Listen, "IP:PORT for clients (default 127.0.0.1:0)");
  Options.text("to", To, "IP:PORT of the target");
  addCommon(Options, Common);
  if (auto Code = parse(Options, Common, Count, Values))
    return {Code, {}, false};
  auto ListenAddress = readAddress(Listen);
  auto ToAddress = readAddress(To);
  if (!ListenAddress || !ToAddress)
    return {ExitUsage, {}, false};
  Setup Made;
  Made.EndWithStdin_ = Common.EndWithStdin_;
  Made.Instances_.push_back(std::make_unique<ProxyStandin>(ProxySettings{
      *ListenAddress, *ToAddress, Common.Port_, Common.Connections_}));
  return Made;
}

Setup make(const std::string &Name, int Count, const char **Values) {
  if (Name == "kv")
    return makeKeyValue(Count, Values);
  if (Name == "engine")
    return makeEngine(Count, Values);
  if (Name == "pool")
    return makeTimed<PoolStandin, PoolSettings>("amaranth-standin pool",
                                                TargetControl, Count, Values);
  if (Name == "service")
    return makeTimed<ServiceStandin, ServiceSettings>(
        "amaranth-standin service", std::string(TargetControl) + ServiceControl,
        Count, Values);
  if (Name == "proxy")
    return makeProxy(Count, Values);
  if (Name == "--help" || Name == "-?") {
    std::fputs(Usage, stdout);
    return {0, {}, false};
  }
  if (Name == "--version") {
    std::printf("amaranth-standin %s\n", AMARANTH_VERSION);
    return {0, {}, false};
  }
  std::fprintf(stderr, "amaranth-standin: unknown subcommand: %s\n%s",
               Name.c_str(), Usage);
  return {ExitUsage, {}, false};
}

/// Blocks the signals that end the process, before any thread exists.
sigset_t blockSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Ending;
  sigemptyset(&Ending);
  sigaddset(&Ending, SIGTERM);
  sigaddset(&Ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Ending, nullptr);
  return Ending;
}

/// Sends SIGTERM to this process when standard input closes, so that stand-ins
/// end with the test that started them even if it crashes.
void watchStdin() {
  std::thread([] {
    std::array<char, 256> Ignored{};
    while (read(STDIN_FILENO, Ignored.data(), Ignored.size()) > 0) {
    }
    kill(getpid(), SIGTERM);
  }).detach();
}

bool start(Standin &Instance) {
  auto Started = capture([&] { return Instance.start(); });
  if (!Started) {
    std::fprintf(stderr, "amaranth-standin: %s\n",
                 Started.error().Message_.c_str());
    return false;
  }
  for (const Announcement &Line : Instance.announcements())
    std::printf("listening %s 127.0.0.1:%d\n", Line.Name_.c_str(), Line.Port_);
  std::fflush(stdout);
  return true;
}

} // namespace

int main(int Count, const char **Values) {
  if (Count < 2) {
    std::fputs(Usage, stderr);
    return ExitUsage;
  }
  sigset_t Ending = blockSignals();
  Setup Made = make(Values[1], Count - 1, Values + 1);
  if (Made.ExitCode_)
    return *Made.ExitCode_;
  for (auto &Instance : Made.Instances_)
    if (!start(*Instance))
      return ExitFailure;
  if (Made.EndWithStdin_)
    watchStdin();
  int Signal = 0;
  sigwait(&Ending, &Signal);
  for (auto &Instance : Made.Instances_)
    Instance->stop();
  return 0;
}
