/// \file
/// A small deployment for the cases of the second review: a store, servers and
/// callers as the users' pages describe them, and the project's own processes.
#ifndef AMARANTH_REVIEW_SMALLFLEET_H
#define AMARANTH_REVIEW_SMALLFLEET_H

#include "Integration/ChildProcess.h"
#include "Integration/Platform/RawServer.h"
#include "Integration/Platform/StoreDouble.h"
#include "Transport/HttpReader.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace amaranth::review {

using integration::ChildProcess;
using integration::ChildProcessSettings;
using integration::ExitStatus;
using integration::RawRequest;
using integration::RawServer;
using integration::RawServerConnection;
using integration::StoreDouble;
using nlohmann::json;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CannotRun = 2 };

inline void sleepFor(Milliseconds Time) { std::this_thread::sleep_for(Time); }

/// False if the script runs without its disruption.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Writes record.txt: one line for each event with the milliseconds since the
/// start.
class Record final {
public:
  explicit Record(const std::string &Path)
      : File_(Path), Start_(SteadyClock::now()) {}

  void add(const std::string &Line) {
    std::lock_guard Lock(Mutex_);
    File_ << now().count() << " " << Line << "\n" << std::flush;
  }
  /// Also prints the line.
  void state(const std::string &Line) {
    add(Line);
    std::printf("%s\n", Line.c_str());
    std::fflush(stdout);
  }
  Milliseconds now() const {
    return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                    Start_);
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
  SteadyTime Start_;
};

/// An answer as a caller sees it.
struct Answer {
  int Status_ = 0;        ///< 0 if the connection ended without a head.
  bool Complete_ = false; ///< The whole answer has arrived.
  std::string Body_;
  transport::HttpHead Head_;
};

/// A caller with one connection that it keeps for many requests.
class Caller final {
public:
  explicit Caller(int Port) : Port_(Port) {}
  ~Caller() { disconnect(); }
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  /// Requests answered on the present connection.
  int answeredHere() const { return AnsweredHere_; }

  Answer call(const std::string &Request, Milliseconds Patience) {
    Answer Result;
    if (Socket_ < 0 && !connectNow())
      return Result;
    send(Socket_, Request.data(), Request.size(), MSG_NOSIGNAL);
    transport::HttpReader Reader(transport::HttpReader::Kind::Response, 65536,
                                 1 << 24);
    SteadyTime GiveUpAt = SteadyClock::now() + Patience;
    std::string Input;
    while (Reader.state() <= transport::HttpReader::State::Body) {
      auto Left = std::chrono::duration_cast<Milliseconds>(GiveUpAt -
                                                           SteadyClock::now());
      pollfd Poll{Socket_, POLLIN, 0};
      if (Left <= Milliseconds(0) ||
          poll(&Poll, 1, static_cast<int>(Left.count())) <= 0)
        break;
      char Chunk[16384];
      ssize_t Count = recv(Socket_, Chunk, sizeof Chunk, 0);
      if (Count <= 0)
        break;
      Input.append(Chunk, static_cast<std::size_t>(Count));
      Reader.feed(Input);
    }
    Result.Complete_ = Reader.state() == transport::HttpReader::State::Complete;
    if (Reader.hasHead()) {
      Result.Head_ = Reader.head();
      Result.Status_ = Result.Head_.Status_;
      Result.Body_ = Reader.takeBody();
    }
    ++AnsweredHere_;
    if (!Result.Complete_ || !Reader.keepAlive())
      disconnect();
    return Result;
  }

  void disconnect() {
    if (Socket_ >= 0)
      close(Socket_);
    Socket_ = -1;
    AnsweredHere_ = 0;
  }

private:
  bool connectNow() {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port_));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
      close(Socket);
      return false;
    }
    Socket_ = Socket;
    AnsweredHere_ = 0;
    return true;
  }

  int Port_;
  int Socket_ = -1;
  int AnsweredHere_ = 0;
};

/// The entry hosts: `target/amaranthd --platform`, as deploy/system.toml says.
class Hosts final {
public:
  Hosts(StoreDouble &Store, std::size_t Count, std::string Folder)
      : Folder_(std::move(Folder)) {
    Hosts_.resize(Count);
    for (std::size_t I = 0; I < Count; ++I)
      writeSettings(Store, I);
    for (std::size_t I = 0; I < Count; ++I)
      start(I);
  }

  void start(std::size_t Index) {
    setenv("AMARANTHCOURSE_BOOT", settingsPath(Index).c_str(), 1);
    ChildProcessSettings Settings;
    Settings.Program_ = "target/amaranthd";
    Settings.Arguments_ = {"--platform"};
    Settings.StandardErrorFile_ =
        Folder_ + "/host-" + std::to_string(Index) + ".log";
    Hosts_[Index].Process_ = std::make_unique<ChildProcess>(Settings);
  }

  /// False if a host is not ready after \p Limit.
  bool waitUntilReady(Milliseconds Limit) {
    SteadyTime End = SteadyClock::now() + Limit;
    for (std::size_t I = 0; I < Hosts_.size(); ++I)
      while (!isReady(I)) {
        if (SteadyClock::now() >= End)
          return false;
        sleepFor(Milliseconds(50));
      }
    return true;
  }

  bool isReady(std::size_t Index) const {
    Caller Probe(Hosts_[Index].ReadinessPort_);
    return Probe
               .call("GET /amaranthcourse/readiness HTTP/1.1\r\nHost: "
                     "r\r\n\r\n",
                     Milliseconds(500))
               .Status_ == 200;
  }

  ChildProcess &process(std::size_t Index) { return *Hosts_[Index].Process_; }
  int callerPort(std::size_t Index) const { return Hosts_[Index].CallerPort_; }
  std::size_t count() const { return Hosts_.size(); }
  std::string logPath(std::size_t Index) const {
    return Folder_ + "/host-" + std::to_string(Index) + ".log";
  }

private:
  struct Host {
    int CallerPort_ = 0;
    int ReadinessPort_ = 0;
    std::unique_ptr<ChildProcess> Process_;
  };

  std::string settingsPath(std::size_t Index) const {
    return Folder_ + "/host-" + std::to_string(Index) + ".conf";
  }

  void writeSettings(StoreDouble &Store, std::size_t Index) {
    Host &Entry = Hosts_[Index];
    Entry.CallerPort_ = integration::freePort();
    Entry.ReadinessPort_ = integration::freePort();
    std::string Directory = std::to_string(integration::freePort());
    std::string Peer = std::to_string(integration::freePort());
    std::string Ip = "127.0.0.1";
    std::ofstream File(settingsPath(Index));
    File << "node=front-cartago-a-" << Index + 1
         << "\nrole=entry\nmachine_class=front\nserves=front,directory\nip="
         << Ip << "\nzone=cartago-a\nregion=cartago\n"
         << "zones.cartago-a=cartago\nlisten.front=" << Ip << ":"
         << Entry.CallerPort_ << "\nlisten.ready=" << Ip << ":"
         << Entry.ReadinessPort_ << "\nlisten.directory=" << Ip << ":"
         << Directory << "\ninternal_port_range=" << Peer << "," << Peer
         << "\nbootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.5\n"
         << "limits.cores=1\nlimits.memory_mb=520\nlimits.max_fds=8200\n"
         << "limits.link_mbps=2000.0\ndiscovery=platform\nentry=directory\n"
         << "heartbeat_ms=1200\nbounds.contact_ms=3000\n"
         << "bounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
         << "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
         << "bounds.retry_budget_extra=56\nbounds.ttl_max_s=5\n"
         << "platform.address=" << Store.address(Index)
         << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
         << "platform.reads_per_s=2000\nplatform.history_s=20\n"
         << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  }

  std::string Folder_;
  std::vector<Host> Hosts_;
};

/// A server that registers itself in the store and answers requests for itself
/// only.
class Server final {
public:
  Server(StoreDouble &Store, std::string Id, std::string Service,
         RawServer::Handler Handle)
      : Store_(Store), Id_(std::move(Id)), Service_(std::move(Service)) {
    Server_ = std::make_unique<RawServer>(
        [this, Handle](RawServerConnection &Connection,
                       const RawRequest &Request) {
          if (Request.field("Expect-Instance") != Id_) {
            Connection.write(
                integration::rawAnswer(421,
                                       "Not-Executed: 1\r\nRequest-Id: " +
                                           Request.field("Request-Id") + "\r\n",
                                       ""));
            return true;
          }
          return Handle(Connection, Request);
        });
    register_("ready");
  }

  const std::string &id() const { return Id_; }
  std::string address() const { return Server_->address(); }
  /// The server's own entry in the store, whole.
  json entry(const char *State) const {
    return {{"service", Service_},
            {"address", address()},
            {"zone", "cartago-a"},
            {"version", "1"},
            {"slots", 64},
            {"state", State},
            {"cold_remaining_ms", 0},
            {"sequence", Sequence_},
            {"born", Born_}};
  }
  void register_(const char *State) {
    ++Sequence_;
    Store_.put("servers/" + Id_, entry(State));
  }

private:
  StoreDouble &Store_;
  std::string Id_;
  std::string Service_;
  int Sequence_ = 0;
  std::int64_t Born_ = std::chrono::duration_cast<Milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  std::unique_ptr<RawServer> Server_;
};

/// Header fields of a server's own answer to \p Request.
inline std::string ownFields(const RawRequest &Request) {
  return "Request-Id: " + Request.field("Request-Id") +
         "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

inline json plainRoute(const char *Name, const char *Prefix, const char *Kind,
                       const char *Service) {
  return {
      {"name", Name},    {"host", "tienda.example"}, {"prefix", Prefix},
      {"kind", Kind},    {"timeout_ms", 3000},       {"target_latency_ms", 300},
      {"priority", 0},   {"service", Service},       {"max_attempts", 2},
      {"public", false}, {"stages", json::array()}};
}

inline json configuration(json Routes, json Services) {
  return {{"version", 3},
          {"routes", std::move(Routes)},
          {"services", std::move(Services)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1048576},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 10000}}},
          {"tenants", {{{"name", "taller"}, {"api_keys", {"llave"}}}}}};
}

/// A request with a length; \p Id is its Request-Id.
inline std::string callerRequest(const std::string &Method,
                                 const std::string &Path, const std::string &Id,
                                 int DeadlineMs, const std::string &Body = "") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: tienda.example\r\n" +
         "Request-Id: " + Id +
         "\r\nKey: llave\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Runs \p Case in a temporary folder. Arguments: the folder of the case and
/// the temporary folder.
inline int
runCase(int Count, char **Arguments,
        const std::function<Verdict(Record &, const std::string &)> &Case) {
  if (Count != 3) {
    std::fprintf(stderr, "usage: case FOLDER TEMPORARY-FOLDER\n");
    return static_cast<int>(Verdict::CannotRun);
  }
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Log.add(hasTrouble() ? "with the disruption" : "without the disruption");
  Verdict Result = Verdict::CannotRun;
  try {
    Result = Case(Log, Arguments[2]);
  } catch (const std::exception &Failure) {
    Log.state(std::string("cannot run: ") + Failure.what());
  }
  Log.state(Result == Verdict::Held     ? "result: held"
            : Result == Verdict::Broken ? "result: broken"
                                        : "result: could not run");
  return static_cast<int>(Result);
}

} // namespace amaranth::review

#endif
