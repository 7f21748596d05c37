/// \file
/// A small deployment on loopback for the cases of the review: hosts started
/// with the command of the deploy file, doubles of the store and of servers,
/// clients, and the record of what was sent, answered and run.
#ifndef AMARANTH_REVIEW_COMMON_DEPLOYMENT_H
#define AMARANTH_REVIEW_COMMON_DEPLOYMENT_H

#include "Integration/ChildProcess.h"
#include "Integration/Platform/StoreDouble.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace review {

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Lines with the milliseconds since the start of the case, in the file that
/// the variable RECORD names.
class Record final {
public:
  Record() : Start_(SteadyClock::now()) {
    const char *Path = std::getenv("RECORD");
    File_ = std::fopen(Path ? Path : "record.txt", "w");
  }
  long now() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - Start_)
        .count();
  }
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::lock_guard Lock(Mutex_);
    if (!File_)
      return;
    std::fprintf(File_, "%7ld ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File_, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File_);
    std::fflush(File_);
  }

private:
  SteadyTime Start_;
  std::mutex Mutex_;
  std::FILE *File_ = nullptr;
};

inline Record &record() {
  static Record Instance;
  return Instance;
}

inline std::string newId() {
  static std::mutex Mutex;
  static std::mt19937_64 Random{std::random_device{}()};
  std::lock_guard Lock(Mutex);
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}

inline void sleepMs(long Time) {
  std::this_thread::sleep_for(Milliseconds(Time));
}

/// Folder for settings and logs, removed at the end of the case.
inline const std::string &temporaryFolder() {
  static const std::string Path = [] {
    std::string Folder = (std::filesystem::temp_directory_path() /
                          ("amaranth-review-" + newId()))
                             .string();
    std::filesystem::create_directories(Folder);
    return Folder;
  }();
  return Path;
}

/// A server that registers itself in the store. It refuses requests that expect
/// another instance.
class Server final {
public:
  Server(StoreDouble &Store, std::string Id, std::string Service,
         RawServer::Handler Handle, int Slots = 6)
      : Store_(Store), Id_(std::move(Id)), Service_(std::move(Service)),
        Slots_(Slots) {
    Listener_ = std::make_unique<RawServer>([this, Handle](
                                                RawServerConnection &Connection,
                                                const RawRequest &Request) {
      if (Request.field("Expect-Instance") != Id_) {
        Connection.write(rawAnswer(421, "Instance-Id: " + Id_ + "\r\n", ""));
        return true;
      }
      return Handle(Connection, Request);
    });
    publish("ready");
  }

  const std::string &id() const { return Id_; }
  std::string address() const { return Listener_->address(); }
  void publish(const char *State) {
    Store_.put("servers/" + Id_, {{"service", Service_},
                                  {"address", address()},
                                  {"zone", "cartago-a"},
                                  {"version", "1"},
                                  {"slots", Slots_},
                                  {"state", State},
                                  {"cold_remaining_ms", 0},
                                  {"born", 1700000000000},
                                  {"sequence", 1}});
  }
  void remove() { Store_.remove("servers/" + Id_); }
  /// Ends all connections and listens no more.
  void exit() { Listener_.reset(); }

private:
  StoreDouble &Store_;
  std::string Id_;
  std::string Service_;
  int Slots_;
  std::unique_ptr<RawServer> Listener_;
};

/// Fields of a server's answer to \p Request.
inline std::string answerFields(const RawRequest &Request) {
  return "Request-Id: " + Request.field("Request-Id") +
         "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

/// The body of a sound answer to a stage call.
inline std::string stageAnswer(const RawRequest &Request,
                               const std::string &Address) {
  json Results = json::array();
  json Call = json::parse(Request.Body_);
  for (std::size_t I = 0; I < Call.at("items").size(); ++I)
    Results.push_back({{"handle", Address + "/" + newId()}});
  return json{{"items", Results}}.dump();
}

/// Process ids of the hosts that run, for endHosts().
inline std::array<std::atomic<pid_t>, 16> &hostProcesses() {
  static std::array<std::atomic<pid_t>, 16> Ids{};
  return Ids;
}

/// Ends all hosts when the case itself is told to end.
inline void endHosts(int) {
  for (std::atomic<pid_t> &Id : hostProcesses())
    if (Id > 0)
      kill(Id, SIGKILL);
  _exit(CannotRun);
}

/// Call before anything is started.
inline void handleSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  hostProcesses();
  std::signal(SIGTERM, endHosts);
  std::signal(SIGINT, endHosts);
}

/// A process of the system with its settings file. The platform starts it again
/// when it has ended.
class Host final {
public:
  Host(StoreDouble &Store, std::size_t Index) : Index_(Index) {
    CallerPort_ = freePort();
    ReadinessPort_ = freePort();
    DirectoryPort_ = freePort();
    int PeerPort = freePort();
    std::string Name = "front-cartago-" + std::string(1, 'a' + Index) + "-1";
    SettingsPath_ = temporaryFolder() + "/" + Name + ".conf";
    LogPath_ = temporaryFolder() + "/" + Name + ".log";
    auto Loopback = [](int Port) {
      return "127.0.0.1:" + std::to_string(Port) + "\n";
    };
    std::ofstream File(SettingsPath_);
    File << "node=" << Name << "\nrole=entry\nmachine_class=front\n"
         << "serves=front,directory\nip=127.0.0.1\nzone=cartago-a\n"
         << "region=cartago\nzones.cartago-a=cartago\n"
         << "listen.front=" << Loopback(CallerPort_)
         << "listen.ready=" << Loopback(ReadinessPort_)
         << "listen.directory=" << Loopback(DirectoryPort_)
         << "internal_port_range=" << PeerPort << "," << PeerPort << "\n"
         << "bootstrap=true\nlimits.cpu_share=0.5\nlimits.cores=1\n"
         << "limits.memory_mb=520\nlimits.max_fds=8200\n"
         << "limits.link_mbps=2000.0\ndiscovery=platform\nentry=directory\n"
         << "heartbeat_ms=1200\nbounds.contact_ms=3000\n"
         << "bounds.drain_ms=2000\nbounds.grace_s=8\n"
         << "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
         << "bounds.retry_budget_extra=56\nbounds.ttl_max_s=5\n"
         << "platform.address=" << Store.address(Index) << "\n"
         << "platform.form=kv\nplatform.writes_per_s=400\n"
         << "platform.reads_per_s=2000\nplatform.history_s=20\n"
         << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    File.close();
    start();
  }

  void start() {
    setenv("AMARANTHCOURSE_BOOT", SettingsPath_.c_str(), 1);
    ChildProcessSettings Settings;
    Settings.Program_ = "target/amaranthd";
    Settings.Arguments_ = {"--platform"};
    Settings.StandardErrorFile_ = LogPath_;
    hostProcesses().at(Index_) = 0;
    Process_ = std::make_unique<ChildProcess>(Settings);
    hostProcesses().at(Index_) = Process_->id();
    record().line("host %zu process started", Index_);
  }
  /// How the process ended; nothing while it runs.
  std::optional<ExitStatus> hasEnded(Milliseconds Limit) {
    std::optional<ExitStatus> Exit = Process_->waitExit(Limit);
    if (Exit)
      hostProcesses().at(Index_) = 0;
    return Exit;
  }
  std::size_t index() const { return Index_; }
  int callerPort() const { return CallerPort_; }
  int readinessPort() const { return ReadinessPort_; }
  int directoryPort() const { return DirectoryPort_; }
  ChildProcess &process() { return *Process_; }
  const std::string &logPath() const { return LogPath_; }

private:
  std::size_t Index_;
  int CallerPort_ = 0;
  int ReadinessPort_ = 0;
  int DirectoryPort_ = 0;
  std::string SettingsPath_;
  std::string LogPath_;
  std::unique_ptr<ChildProcess> Process_;
};

/// How a request ended for its client.
struct Answer {
  int Status_ = 0;        ///< 0 if no status line arrived.
  bool Complete_ = false; ///< The whole answer arrived.
  bool Closed_ = false;   ///< The connection ended first.
  bool Sent_ = false;     ///< The request was written whole.
  std::string Body_;
  transport::HttpHead Head_;
};

/// A client's connection, kept for many requests.
class Connection final {
public:
  explicit Connection(int Port) {
    Socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int One = 1;
    setsockopt(Socket_, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    if (connect(Socket_, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
      close(Socket_);
      Socket_ = -1;
    }
  }
  ~Connection() {
    if (Socket_ >= 0)
      close(Socket_);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return Socket_ >= 0; }

  Answer exchange(const std::string &Request, Milliseconds Timeout) {
    Answer Result;
    if (!isOpen())
      return Result;
    SteadyTime Deadline = SteadyClock::now() + Timeout;
    Result.Sent_ = send(Socket_, Request.data(), Request.size(),
                        MSG_NOSIGNAL) == static_cast<ssize_t>(Request.size());
    transport::HttpReader Reader(transport::HttpReader::Kind::Response, 65536,
                                 1 << 24);
    std::string Input;
    char Chunk[16384];
    while (Reader.state() <= transport::HttpReader::State::Body) {
      auto Left = std::chrono::duration_cast<Microseconds>(Deadline -
                                                           SteadyClock::now());
      if (Left <= Microseconds(0))
        break;
      timeval Wait{Left.count() / 1000000, Left.count() % 1000000};
      setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
      ssize_t Count = recv(Socket_, Chunk, sizeof Chunk, 0);
      if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (Count <= 0) {
        Result.Closed_ = true;
        break;
      }
      Input.append(Chunk, static_cast<std::size_t>(Count));
      Reader.feed(Input);
    }
    Result.Complete_ = Reader.state() == transport::HttpReader::State::Complete;
    if (Reader.hasHead()) {
      Result.Head_ = Reader.head();
      Result.Status_ = Result.Head_.Status_;
      Result.Body_ = Reader.takeBody();
    }
    if (!Result.Complete_ || !Reader.keepAlive()) {
      close(Socket_);
      Socket_ = -1;
    }
    return Result;
  }

private:
  int Socket_ = -1;
};

/// A client's request with the key of the tenant "bozi300".
inline std::string clientRequest(const std::string &Method,
                                 const std::string &Path, const std::string &Id,
                                 int DeadlineMs, const std::string &Fields,
                                 const std::string &Body) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nKey: 9dnn2ctnfzs989anu6ws\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline bool isReady(const Host &Asked) {
  Connection Link(Asked.readinessPort());
  return Link.exchange("GET /amaranthcourse/readiness HTTP/1.1\r\n"
                       "Host: r\r\n\r\n",
                       Milliseconds(1000))
             .Status_ == 200;
}

inline std::size_t listedHosts(const Host &Asked) {
  Connection Link(Asked.directoryPort());
  Answer Listed = Link.exchange(
      "GET /amaranthcourse/resolve?name=pule25.example&region=cartago&"
      "zone=cartago-a HTTP/1.1\r\nHost: d\r\n\r\n",
      Milliseconds(1000));
  if (Listed.Status_ != 200)
    return 0;
  return json::parse(Listed.Body_).at("addresses").size();
}

/// Waits until all hosts are ready and list each other.
inline bool waitUntilServing(std::vector<std::unique_ptr<Host>> &Hosts) {
  for (int Try = 0; Try < 200; ++Try) {
    bool All = true;
    for (auto &One : Hosts)
      All = All && isReady(*One) && listedHosts(*One) == Hosts.size();
    if (All)
      return true;
    sleepMs(100);
  }
  return false;
}

inline json makeRoute(const std::string &Name, const std::string &Kind,
                      const std::string &Service, int TimeoutMs, int AimMs,
                      int Priority, int Attempts) {
  return {{"name", Name},
          {"host", "pule25.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", TimeoutMs},
          {"target_latency_ms", AimMs},
          {"priority", Priority},
          {"service", Service},
          {"max_attempts", Attempts},
          {"public", false},
          {"stages", json::array()}};
}

inline json makeStageService(const std::string &Name, int Batch, double ItemMs,
                             double RoomMb) {
  return {{"name", Name},
          {"max_connections", 280},
          {"pieces",
           {{"slots", 1},
            {"queue", 2},
            {"batch", Batch},
            {"call_ms", 240},
            {"item_ms", ItemMs},
            {"headroom_mb", RoomMb},
            {"handle_s", 4},
            {"link_mbps", 10000}}}};
}

/// Ends the case without waiting for threads of clients and servers.
[[noreturn]] inline void finish(std::vector<std::unique_ptr<Host>> &Hosts,
                                int Code) {
  Hosts.clear();
  const char *Keep = std::getenv("KEEP_LOGS");
  if (Keep)
    std::printf("logs: %s\n", temporaryFolder().c_str());
  else
    std::filesystem::remove_all(temporaryFolder());
  std::fflush(nullptr);
  std::_Exit(Code);
}

} // namespace review

#endif
