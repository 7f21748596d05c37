#include "Integration/Platform/PlatformFleet.h"

#include "Integration/Eventually.h"
#include "Integration/FailureArtifacts.h"
#include "Support/Digest.h"

#include <arpa/inet.h>
#include <netinet/in.h>
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

constexpr Seconds StartLimit{20};
constexpr int AnswerLimitSeconds = 15;

int connectTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval Limit{AnswerLimitSeconds, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
      0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

PlatformAnswer exchange(int Port, const std::string &Request) {
  PlatformAnswer Out;
  int Socket = connectTo(Port);
  if (Socket < 0)
    return Out;
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  transport::HttpReader Reader(transport::HttpReader::Kind::Response, 65536,
                               1 << 24);
  std::string Input;
  char Chunk[16384];
  while (Reader.state() <= transport::HttpReader::State::Body) {
    ssize_t Count = recv(Socket, Chunk, sizeof Chunk, 0);
    if (Count <= 0)
      break;
    Input.append(Chunk, static_cast<std::size_t>(Count));
    Reader.feed(Input);
  }
  close(Socket);
  if (!Reader.hasHead())
    return Out;
  Out.Head_ = Reader.head();
  Out.Status_ = Out.Head_.Status_;
  Out.Whole_ = Reader.state() == transport::HttpReader::State::Complete;
  Out.Body_ = Reader.takeBody();
  return Out;
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
                           std::string Service, RawServer::Handler Handle)
    : Store_(Store), Id_(std::move(Id)), Service_(std::move(Service)) {
  Server_ = std::make_unique<RawServer>(
      [this, Handle](RawServerConnection &Connection,
                     const RawRequest &Request) {
        if (Request.field("Expect-Instance") != Id_) {
          Connection.write(rawAnswer(421, "", ""));
          return true;
        }
        ++Requests_;
        return Handle(Connection, Request);
      });
  announce("ready");
}

void TargetDouble::announce(const char *State) {
  Store_.put("servers/" + Id_, {{"service", Service_},
                                {"address", address()},
                                {"zone", "a"},
                                {"slots", 8},
                                {"state", State},
                                {"born", 1},
                                {"sequence", 1}});
}

void TargetDouble::setDraining() { announce("draining"); }

std::string soundFields(const RawRequest &Request) {
  return "Request-Id: " + Request.field("Request-Id") +
         "\r\nResponse-Signature: sig\r\n";
}

bool answerDone(RawServerConnection &Connection, const RawRequest &Request) {
  Connection.write(rawAnswer(200, soundFields(Request), "done"));
  return true;
}

bool makePieces(RawServerConnection &Connection, const RawRequest &Request,
                const std::string &Address) {
  json Made = json::array();
  if (Request.path() == "/amaranthcourse/stage-run") {
    json Call = json::parse(Request.Body_);
    for (const json &Item : Call.at("items"))
      Made.push_back(
          {{"handle", Address + "/" + Item.at("id").get<std::string>() + "-" +
                          Item.at("stage").dump() + "-" +
                          Item.at("piece").dump()}});
  }
  Connection.write(rawAnswer(200, "", json{{"items", Made}}.dump()));
  return true;
}

PlatformFleet::PlatformFleet(StoreDouble &Store, std::size_t Hosts) {
  Hosts_.resize(Hosts);
  for (std::size_t I = 0; I < Hosts; ++I)
    start(Store, I);
  auto AllServe = [&] {
    for (std::size_t I = 0; I < Hosts; ++I)
      if (!ready(I) || directory(I).size() != Hosts)
        return false;
    return true;
  };
  bool Serving = eventually(AllServe, StartLimit);
  if (!Serving)
    throw std::runtime_error("the entry hosts do not all serve");
}

void PlatformFleet::start(StoreDouble &Store, std::size_t Number) {
  HostProcess &Of = Hosts_[Number];
  Of.Callers_ = freePort();
  Of.Readiness_ = freePort();
  Of.Directory_ = freePort();
  std::string Name = (std::filesystem::temp_directory_path() /
                      ("amaranth-platform-" + randomHex(6)))
                         .string();
  std::string Settings = Name + ".conf";
  int Peers = freePort();
  auto At = [](int Port) { return "127.0.0.1:" + std::to_string(Port) + "\n"; };
  std::ofstream File(Settings);
  File << "node=host-" << Number << "\nzone=a\nregion=r\nip=127.0.0.1\n"
       << "listen.front=" << At(Of.Callers_)
       << "listen.ready=" << At(Of.Readiness_)
       << "listen.directory=" << At(Of.Directory_)
       << "platform.address=" << Store.address() << "\n"
       << "internal_port_range=" << Peers << "," << Peers << "\n"
       << "bounds.grace_s=8\nlimits.memory_mb=260\nlimits.max_fds=4100\n";
  File.close();
  setenv("AMARANTHCOURSE_BOOT", Settings.c_str(), 1);
  ChildProcessSettings Process;
  Process.Program_ = std::string(AMARANTH_BINARY_DIR) + "/amaranthd";
  Process.Arguments_ = {"--platform"};
  Process.ErrorFile_ = Name + ".log";
  addFailureArtifact(Settings);
  addFailureArtifact(Process.ErrorFile_);
  Of.Process_ = std::make_unique<ChildProcess>(Process);
}

PlatformAnswer PlatformFleet::call(std::size_t Host,
                                   const std::string &Request) {
  return exchange(Hosts_.at(Host).Callers_, Request);
}

void PlatformFleet::abandon(std::size_t Host, const std::string &Request,
                            Milliseconds After) {
  int Socket = connectTo(Hosts_.at(Host).Callers_);
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::this_thread::sleep_for(After);
  close(Socket);
}

std::vector<std::string> PlatformFleet::directory(std::size_t Host) {
  PlatformAnswer Answer = exchange(
      Hosts_.at(Host).Directory_,
      "GET /amaranthcourse/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\n"
      "Host: d\r\n\r\n");
  if (Answer.Status_ != 200)
    return {};
  return json::parse(Answer.Body_).at("addresses");
}

bool PlatformFleet::ready(std::size_t Host) {
  return exchange(Hosts_.at(Host).Readiness_,
                  "GET /amaranthcourse/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
             .Status_ == 200;
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
