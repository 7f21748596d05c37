#include "Integration/Platform/PlatformFleet.h"

#include "Integration/Eventually.h"
#include "Integration/FailureArtifacts.h"
#include "Support/Digest.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace amaranth::integration {

using nlohmann::json;

namespace {

constexpr Seconds StartTimeout{20};
constexpr int AnswerTimeoutSeconds = 15;

/// Buffer and segment size of a caller that reads slowly: the kernel then holds
/// little of an answer.
constexpr int SmallBuffer = 4096;
constexpr int SmallSegment = 1000;

constexpr int IsEnabled = 1;

int connectTo(int Port, bool SmallBuffers = false) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (SmallBuffers) {
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &SmallBuffer, sizeof SmallBuffer);
    setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SmallSegment,
               sizeof SmallSegment);
  }
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval Timeout{AnswerTimeoutSeconds, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
      0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

/// Reads the answer on \p Socket and closes it. Reads up to \p BytesPerRead
/// with a pause after it, until \p SlowUntil.
PlatformAnswer readAnswer(int Socket, std::size_t BytesPerRead = 0,
                          Milliseconds Pause = Milliseconds{0},
                          SteadyTime SlowUntil = SteadyTime::min()) {
  PlatformAnswer Answer;
  transport::HttpReader Reader(transport::HttpReader::Kind::Response, 65536,
                               1 << 24);
  std::string Input;
  char Chunk[16384];
  while (Reader.state() <= transport::HttpReader::State::Body) {
    bool IsSlow = SteadyClock::now() < SlowUntil;
    ssize_t Count =
        recv(Socket, Chunk, IsSlow ? BytesPerRead : sizeof Chunk, 0);
    if (Count <= 0)
      break;
    if (IsSlow)
      std::this_thread::sleep_for(Pause);
    Input.append(Chunk, static_cast<std::size_t>(Count));
    Reader.feed(Input);
  }
  close(Socket);
  if (!Reader.hasHead())
    return Answer;
  Answer.Head_ = Reader.head();
  Answer.Status_ = Answer.Head_.Status_;
  Answer.Complete_ = Reader.state() == transport::HttpReader::State::Complete;
  Answer.Body_ = Reader.takeBody();
  return Answer;
}

PlatformAnswer exchange(int Port, const std::string &Request) {
  int Socket = connectTo(Port);
  if (Socket < 0)
    return {};
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  return readAnswer(Socket);
}

json route(const char *Prefix, const char *Kind, const char *Service) {
  return {
      {"name", Prefix},  {"host", "h.example"},     {"prefix", Prefix},
      {"kind", Kind},    {"timeout_ms", 4000},      {"target_latency_ms", 1000},
      {"priority", 0},   {"service", Service},      {"max_attempts", 2},
      {"public", false}, {"stages", json::array()}, {"gap_aim_ms", 500}};
}

} // namespace

TargetDouble::TargetDouble(StoreDouble &Store, std::string Id,
                           std::string Service, RawServer::Handler Handle,
                           std::string Zone, std::string Version)
    : Store_(Store), Id_(std::move(Id)), Service_(std::move(Service)),
      Zone_(std::move(Zone)), Version_(std::move(Version)) {
  Server_ = std::make_unique<RawServer>(
      [this, Handle](RawServerConnection &Connection,
                     const RawRequest &Request) {
        if (Request.field("Expect-Instance") != Id_) {
          Connection.write(rawAnswer(
              421, "Request-Id: " + Request.field("Request-Id") + "\r\n", ""));
          return true;
        }
        ++Requests_;
        return Handle(Connection, Request);
      });
  publishState("ready");
}

void TargetDouble::publishState(const char *State) {
  State_ = State;
  Store_.put("servers/" + Id_, {{"service", Service_},
                                {"address", address()},
                                {"zone", Zone_},
                                {"version", Version_},
                                {"slots", 8},
                                {"state", State},
                                {"cold_remaining_ms", 0},
                                {"born", Born_},
                                {"sequence", 1}});
}

void TargetDouble::setDraining() { publishState("draining"); }

void TargetDouble::setReady() { publishState("ready"); }
void TargetDouble::unregister() { Store_.remove("servers/" + Id_); }

void TargetDouble::restart() {
  ++Born_;
  publishState("ready");
}

void TargetDouble::restart(const std::string &Version) {
  Version_ = Version;
  restart();
}

std::string validResponseFields(const RawRequest &Request) {
  return "Request-Id: " + Request.field("Request-Id") +
         "\r\nResponse-Signature: sig\r\n";
}

bool answerDone(RawServerConnection &Connection, const RawRequest &Request) {
  Connection.write(rawAnswer(200, validResponseFields(Request), "done"));
  return true;
}

bool resetWithoutAnswer(RawServerConnection &Connection, const RawRequest &) {
  Connection.resetOnClose();
  return false;
}

std::string streamEvent(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: x\n\n";
}

std::string streamHead(const RawRequest &Request) {
  return transport::statusLine(200) + validResponseFields(Request) +
         "Content-Type: text/event-stream\r\n";
}

bool streamAll(RawServerConnection &Connection, const RawRequest &Request) {
  std::string Last = Request.field("Last-Event-Id");
  std::string Bytes =
      streamHead(Request) + "Transfer-Encoding: chunked\r\n\r\n";
  for (int I = Last.empty() ? 1 : std::stoi(Last) + 1; I <= 4; ++I)
    Bytes += transport::encodeChunk(streamEvent(I));
  Connection.write(Bytes + std::string(transport::LastChunk));
  return true;
}

std::string stageAnswer(const RawRequest &Request, const std::string &Address) {
  // A result that is made again has another handle.
  static std::atomic<int> LastResult{0};
  json Results = json::array();
  if (Request.path() == "/amaranthcourse/stage-run") {
    json Call = json::parse(Request.Body_);
    for (const json &Item : Call.at("items"))
      Results.push_back(
          {{"handle", Address + "/" + Item.at("id").get<std::string>() + "-" +
                          Item.at("stage").dump() + "-" +
                          Item.at("piece").dump() + "-" +
                          std::to_string(++LastResult)}});
  }
  return rawAnswer(200, "", json{{"items", Results}}.dump());
}

bool answerStageCall(RawServerConnection &Connection, const RawRequest &Request,
                     const std::string &Address) {
  Connection.write(stageAnswer(Request, Address));
  return true;
}

PlatformFleet::PlatformFleet(StoreDouble &Store, std::size_t Hosts,
                             std::size_t DataCentres)
    : DataCentres_(DataCentres) {
  Hosts_.resize(Hosts);
  for (std::size_t I = 0; I < Hosts; ++I)
    start(Store, I);
  waitUntilServing();
}

void PlatformFleet::addHost(StoreDouble &Store) {
  Hosts_.emplace_back();
  start(Store, Hosts_.size() - 1);
  waitUntilServing();
}

void PlatformFleet::waitUntilServing() {
  auto AllServe = [&] {
    for (std::size_t I = 0; I < Hosts_.size(); ++I)
      if (!isReady(I) || resolveEntryHosts(I, "").size() != Hosts_.size())
        return false;
    return true;
  };
  bool Serving = eventually(AllServe, StartTimeout);
  if (!Serving)
    throw std::runtime_error(
        "not all entry hosts were ready and in the directory within 20 s");
}

void PlatformFleet::start(StoreDouble &Store, std::size_t Index) {
  HostProcess &Host = Hosts_[Index];
  Host.CallerPort_ = freePort();
  Host.ReadinessPort_ = freePort();
  Host.DirectoryPort_ = freePort();
  std::string PathPrefix = (std::filesystem::temp_directory_path() /
                            ("amaranth-platform-" + randomHex(6)))
                               .string();
  std::string SettingsPath = PathPrefix + ".conf";
  int PeerPort = freePort();
  auto AddressLine = [](int Port) {
    return "127.0.0.1:" + std::to_string(Port) + "\n";
  };
  std::ofstream File(SettingsPath);
  File << "node=host-" << Index
       << "\nzone=" << static_cast<char>('a' + Index % DataCentres_)
       << "\nregion=r\nip=127.0.0.1\n"
       << "listen.front=" << AddressLine(Host.CallerPort_)
       << "listen.ready=" << AddressLine(Host.ReadinessPort_)
       << "listen.directory=" << AddressLine(Host.DirectoryPort_)
       << "platform.address=" << Store.address(Index) << "\n"
       << "internal_port_range=" << PeerPort << "," << PeerPort << "\n"
       << "bounds.grace_s=8\nlimits.memory_mb=260\nlimits.max_fds=4100\n";
  File.close();
  setenv("AMARANTHCOURSE_BOOT", SettingsPath.c_str(), 1);
  ChildProcessSettings Process;
  Process.Program_ = std::string(AMARANTH_BINARY_DIR) + "/amaranthd";
  Process.Arguments_ = {"--platform"};
  Process.StandardErrorFile_ = PathPrefix + ".log";
  addFailureArtifact(SettingsPath);
  addFailureArtifact(Process.StandardErrorFile_);
  Host.Process_ = std::make_unique<ChildProcess>(Process);
}

PlatformAnswer PlatformFleet::call(std::size_t Host,
                                   const std::string &Request) {
  return exchange(Hosts_.at(Host).CallerPort_, Request);
}

PlatformAnswer PlatformFleet::callWithPause(std::size_t Host,
                                            const std::string &Request,
                                            std::size_t FirstBytes,
                                            Milliseconds Pause) {
  return callInParts(
      Host, {Request.substr(0, FirstBytes), Request.substr(FirstBytes)}, Pause);
}

PlatformAnswer PlatformFleet::callInParts(std::size_t Host,
                                          const std::vector<std::string> &Parts,
                                          Milliseconds Pause) {
  int Socket = connectTo(Hosts_.at(Host).CallerPort_);
  if (Socket < 0)
    return {};
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &IsEnabled, sizeof IsEnabled);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    if (I > 0)
      std::this_thread::sleep_for(Pause);
    send(Socket, Parts[I].data(), Parts[I].size(), MSG_NOSIGNAL);
  }
  return readAnswer(Socket);
}

std::size_t PlatformFleet::callAndDiscard(std::size_t Host,
                                          const std::string &Request,
                                          Milliseconds Limit) {
  int Socket = connectTo(Hosts_.at(Host).CallerPort_);
  if (Socket < 0)
    return 0;
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  SteadyTime End = SteadyClock::now() + Limit;
  std::size_t Bytes = 0;
  std::vector<char> Chunk(65536);
  while (SteadyClock::now() < End) {
    ssize_t Count = recv(Socket, Chunk.data(), Chunk.size(), 0);
    if (Count <= 0)
      break;
    Bytes += static_cast<std::size_t>(Count);
  }
  close(Socket);
  return Bytes;
}

PlatformAnswer PlatformFleet::callSlowly(std::size_t Host,
                                         const std::string &Request,
                                         std::size_t BytesPerRead,
                                         Milliseconds Pause,
                                         Milliseconds SlowTime) {
  int Socket = connectTo(Hosts_.at(Host).CallerPort_, true);
  if (Socket < 0)
    return {};
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  return readAnswer(Socket, BytesPerRead, Pause, SteadyClock::now() + SlowTime);
}

void PlatformFleet::sendAndDisconnect(std::size_t Host,
                                      const std::string &Request,
                                      Milliseconds Delay) {
  int Socket = connectTo(Hosts_.at(Host).CallerPort_);
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::this_thread::sleep_for(Delay);
  close(Socket);
}

std::string PlatformFleet::callerAddress(std::size_t Host) const {
  return "127.0.0.1:" + std::to_string(Hosts_.at(Host).CallerPort_);
}

std::vector<std::string>
PlatformFleet::resolveEntryHosts(std::size_t Host,
                                 const std::string &DataCentre) {
  const std::string Request =
      "GET /amaranthcourse/resolve?name=h.example&region=r&zone=" + DataCentre +
      " HTTP/1.1\r\nHost: d\r\n\r\n";
  PlatformAnswer Answer = exchange(Hosts_.at(Host).DirectoryPort_, Request);
  if (Answer.Status_ != 200)
    return {};
  return json::parse(Answer.Body_).at("addresses");
}

bool PlatformFleet::isReady(std::size_t Host) {
  return exchange(Hosts_.at(Host).ReadinessPort_,
                  "GET /amaranthcourse/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
             .Status_ == 200;
}

PlatformAnswer PlatformFleet::metrics(std::size_t Host) {
  return exchange(Hosts_.at(Host).ReadinessPort_,
                  "GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n");
}

std::string platformRequest(const std::string &Method, const std::string &Path,
                            const std::string &Fields,
                            const std::string &Body) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + randomHex(8) +
         "\r\nKey: secret\r\nDeadline-Ms: 4000\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

json platformConfiguration() {
  json Draft = route("/draft/", "streaming", "engine");
  Draft["stream_resume"] = true;
  json Guide = route("/guide/", "streaming", "engine");
  Guide["stages"] = {
      {{"service", "stage"}, {"after", json::array()}, {"bytes", 1000}},
      {{"service", "stage"}, {"after", {0}}, {"bytes", 1000}}};
  json Stage{{"name", "stage"},
             {"pieces",
              {{"slots", 1},
               {"batch", 8},
               {"call_ms", 20},
               {"item_ms", 1},
               {"headroom_mb", 1},
               {"handle_s", 4}}}};
  return {{"version", 1},
          {"routes",
           {route("/look/", "idempotent", "desk"),
            route("/order/", "non_idempotent", "desk"), Draft,
            route("/once/", "streaming", "engine"), Guide}},
          {"services", {{{"name", "desk"}}, {{"name", "engine"}}, Stage}},
          {"tenants", {{{"name", "t"}, {"api_keys", {"secret"}}}}}};
}

} // namespace amaranth::integration
