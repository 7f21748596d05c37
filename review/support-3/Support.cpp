#include "Support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <strings.h>

namespace review {

namespace {

constexpr Ms HeartbeatPeriod{1200};
constexpr Ms ExpiryCheckPeriod{50};
constexpr std::size_t ReadSize = 16384;

int openSocket() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
  return Socket;
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

int boundPort(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

std::string addressOf(int Port) { return "127.0.0.1:" + std::to_string(Port); }

const std::string Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text.push_back(
          I + J <= Bytes.size() ? Alphabet[Group >> (18 - 6 * J) & 63U] : '=');
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Char : Text) {
    std::size_t Value = Alphabet.find(Char);
    if (Value == std::string::npos)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes.push_back(static_cast<char>(Group >> Bits & 255U));
  }
  return Bytes;
}

std::string decodePercent(const std::string &Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded.push_back(
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Decoded.push_back(Text[I]);
    }
  }
  return Decoded;
}

} // namespace

Record::Record(const std::string &Path)
    : File_(std::fopen(Path.c_str(), "w")) {}

Record::~Record() {
  if (File_)
    std::fclose(File_);
}

std::int64_t Record::now() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - Start_).count();
}

void Record::line(const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  auto Time = static_cast<double>(now()) / 1000;
  if (File_) {
    std::fprintf(File_, "%8.3f s  %s\n", Time, Text.c_str());
    std::fflush(File_);
  }
}

std::string Message::field(const std::string &Name) const {
  for (const auto &[Field, Value] : Fields_)
    if (strcasecmp(Field.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

std::string Message::method() const {
  return StartLine_.substr(0, StartLine_.find(' '));
}

std::string Message::path() const {
  std::size_t Begin = StartLine_.find(' ') + 1;
  return StartLine_.substr(Begin,
                           StartLine_.find_first_of(" ?", Begin) - Begin);
}

std::string Message::parameter(const std::string &Name) const {
  std::size_t Begin = StartLine_.find(' ') + 1;
  std::string Query =
      StartLine_.substr(Begin, StartLine_.find(' ', Begin) - Begin);
  std::size_t Mark = Query.find('?');
  if (Mark == std::string::npos)
    return "";
  Query = "&" + Query.substr(Mark + 1);
  std::size_t At = Query.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  std::size_t ValueAt = At + Name.size() + 2;
  return decodePercent(
      Query.substr(ValueAt, Query.find('&', ValueAt) - ValueAt));
}

int Message::status() const {
  return StartLine_.rfind("HTTP/1.1 ", 0) == 0
             ? std::atoi(StartLine_.c_str() + 9)
             : 0;
}

Connection::Connection(int Socket) : Socket_(Socket) {
  static std::atomic<std::uint64_t> Last{0};
  Number_ = ++Last;
}

Connection::~Connection() { close(Socket_); }

bool Connection::receive(Clock::time_point Until) {
  auto Left = std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
  if (Left <= 0)
    return false;
  pollfd Wanted{Socket_, POLLIN, 0};
  if (poll(&Wanted, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Chunk[ReadSize];
  ssize_t Count = recv(Socket_, Chunk, sizeof Chunk, 0);
  if (Count <= 0)
    return false;
  Input_.append(Chunk, static_cast<std::size_t>(Count));
  return true;
}

Message Connection::read(Ms Limit) {
  Message Received;
  Clock::time_point Until = Clock::now() + Limit;
  std::size_t End = 0;
  while ((End = Input_.find("\r\n\r\n")) == std::string::npos)
    if (!receive(Until))
      return Received;
  std::string Head = Input_.substr(0, End + 2);
  Input_.erase(0, End + 4);
  std::size_t LineEnd = Head.find("\r\n");
  Received.StartLine_ = Head.substr(0, LineEnd);
  for (std::size_t At = LineEnd + 2; At < Head.size();) {
    LineEnd = Head.find("\r\n", At);
    std::string Line = Head.substr(At, LineEnd - At);
    At = LineEnd + 2;
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t ValueAt = Line.find_first_not_of(" \t", Colon + 1);
    Received.Fields_.emplace_back(
        Line.substr(0, Colon),
        ValueAt == std::string::npos ? "" : Line.substr(ValueAt));
  }
  readBody(Received, Until);
  return Received;
}

void Connection::readBody(Message &Target, Clock::time_point Until) {
  if (Target.field("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t LineEnd = 0;
      while ((LineEnd = Input_.find("\r\n")) == std::string::npos)
        if (!receive(Until))
          return;
      std::size_t Size = std::strtoul(Input_.c_str(), nullptr, 16);
      while (Input_.size() < LineEnd + 4 + Size)
        if (!receive(Until))
          return;
      Target.Body_ += Input_.substr(LineEnd + 2, Size);
      Input_.erase(0, LineEnd + 4 + Size);
      if (Size == 0)
        break;
    }
    Target.Complete_ = true;
    return;
  }
  std::size_t Length =
      std::strtoul(Target.field("Content-Length").c_str(), nullptr, 10);
  while (Input_.size() < Length)
    if (!receive(Until)) {
      Target.Body_ = Input_;
      return;
    }
  Target.Body_ = Input_.substr(0, Length);
  Input_.erase(0, Length);
  Target.Complete_ = true;
}

bool Connection::write(const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    ssize_t Count =
        send(Socket_, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

void Connection::resetOnClose() {
  linger Reset{1, 0};
  setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
}

bool Connection::hasPeerClosed() {
  char Byte = 0;
  ssize_t Count = recv(Socket_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutDown() { shutdown(Socket_, SHUT_RDWR); }

std::unique_ptr<Connection> connectTo(const std::string &Address) {
  int Socket = openSocket();
  sockaddr_in Peer =
      loopback(std::atoi(Address.c_str() + Address.find(':') + 1));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof Peer) == 0)
    return std::make_unique<Connection>(Socket);
  close(Socket);
  return nullptr;
}

Message call(const std::string &Address, const std::string &Request, Ms Limit) {
  std::unique_ptr<Connection> Server = connectTo(Address);
  if (!Server || !Server->write(Request))
    return {};
  return Server->read(Limit);
}

std::string answer(int Status, const std::string &Fields,
                   const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

int freePort() {
  int Socket = openSocket();
  sockaddr_in Any = loopback(0);
  bind(Socket, reinterpret_cast<sockaddr *>(&Any), sizeof Any);
  int Port = boundPort(Socket);
  close(Socket);
  return Port;
}

HttpServer::HttpServer(Handler Handle) : Handle_(std::move(Handle)) {
  Listener_ = openSocket();
  sockaddr_in Any = loopback(0);
  bind(Listener_, reinterpret_cast<sockaddr *>(&Any), sizeof Any);
  listen(Listener_, SOMAXCONN);
  Port_ = boundPort(Listener_);
  Acceptor_ = std::thread([this] { accept(); });
}

HttpServer::~HttpServer() { stop(); }

std::string HttpServer::address() const { return addressOf(Port_); }

void HttpServer::stop() {
  {
    std::lock_guard Lock(Mutex_);
    if (IsStopping_)
      return;
    IsStopping_ = true;
  }
  shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  close(Listener_);
  closeConnections();
  for (std::thread &Thread : Threads_)
    Thread.join();
}

void HttpServer::closeConnections() {
  std::lock_guard Lock(Mutex_);
  for (const std::shared_ptr<Connection> &Open : Connections_)
    Open->shutDown();
}

void HttpServer::accept() {
  for (;;) {
    int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    int Enabled = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
    auto Open = std::make_shared<Connection>(Socket);
    std::lock_guard Lock(Mutex_);
    if (IsStopping_)
      return;
    Connections_.push_back(Open);
    Threads_.emplace_back([this, Open] { serve(Open); });
  }
}

void HttpServer::serve(const std::shared_ptr<Connection> &Open) {
  for (;;) {
    Message Request = Open->read();
    if (!Request.Complete_ || !Handle_(*Open, Request))
      break;
  }
  // The connection closes with the last reference to it.
  std::lock_guard Lock(Mutex_);
  Connections_.remove(Open);
}

Store::Store() {
  Expiry_ = std::thread([this] { expireLeases(); });
  Server_ = std::make_unique<HttpServer>(
      [this](Connection &Caller, const Message &Request) {
        return handle(Caller, Request);
      });
}

Store::~Store() {
  {
    std::lock_guard Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  Server_->stop();
  Expiry_.join();
}

std::uint64_t Store::revision() {
  std::lock_guard Lock(Mutex_);
  return Revision_;
}

std::optional<std::uint64_t> Store::put(const std::string &Key,
                                        const Json &Value) {
  std::lock_guard Lock(Mutex_);
  if (IsAway_)
    return std::nullopt;
  write(Key, encodeBase64(Value.dump()), 0);
  return Revision_;
}

void Store::remove(const std::string &Key) {
  std::lock_guard Lock(Mutex_);
  if (!IsAway_)
    erase(Key);
}

std::optional<std::pair<Json, std::uint64_t>>
Store::get(const std::string &Key) {
  std::lock_guard Lock(Mutex_);
  auto Found = Items_.find(Key);
  if (IsAway_ || Found == Items_.end())
    return std::nullopt;
  return std::pair(Json::parse(decodeBase64(Found->second.Value_)),
                   Found->second.Revision_);
}

Store::Copy Store::copy() {
  std::lock_guard Lock(Mutex_);
  return {Items_, Leases_, Revision_};
}

void Store::goAway() {
  {
    std::lock_guard Lock(Mutex_);
    IsAway_ = true;
  }
  Changed_.notify_all();
  Server_->closeConnections();
}

void Store::comeBack(const std::optional<Copy> &Restored) {
  std::lock_guard Lock(Mutex_);
  IsAway_ = false;
  // Leases pause while the store is away.
  for (auto &[Id, Held] : Leases_)
    Held.Expiry_ = Clock::now() + Held.TimeToLive_;
  if (!Restored)
    return;
  Items_ = Restored->Items_;
  Leases_ = Restored->Leases_;
  for (auto &[Id, Held] : Leases_)
    Held.Expiry_ = Clock::now() + Held.TimeToLive_;
  Revision_ = Restored->Revision_;
  std::erase_if(History_, [this](const Event &Past) {
    return Past.Revision_ > Revision_;
  });
  ++Era_;
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::uint64_t LeaseId) {
  ++Revision_;
  Item &Written = Items_[Key];
  if (Written.CreateRevision_ == 0)
    Written.CreateRevision_ = Revision_;
  Written.Value_ = Value;
  Written.Revision_ = Revision_;
  Written.Lease_ = LeaseId;
  History_.push_back({Key, Revision_, false, Written});
  Changed_.notify_all();
}

void Store::erase(const std::string &Key) {
  if (Items_.erase(Key) == 0)
    return;
  ++Revision_;
  History_.push_back({Key, Revision_, true, {}});
  Changed_.notify_all();
}

void Store::endLease(std::uint64_t Id) {
  Leases_.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Held] : Items_)
    if (Held.Lease_ == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    erase(Key);
}

void Store::expireLeases() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_) {
    Changed_.wait_for(Lock, ExpiryCheckPeriod);
    if (IsAway_)
      continue;
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Held] : Leases_)
      if (Held.Expiry_ <= Clock::now())
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      endLease(Id);
  }
}

Json Store::toJson(const std::string &Key, const Item &Source) {
  return {{"key", Key},
          {"value", Source.Value_},
          {"revision", Source.Revision_},
          {"create_rev", Source.CreateRevision_},
          {"lease", Source.Lease_}};
}

std::pair<int, Json> Store::range(const Message &Request) {
  std::lock_guard Lock(Mutex_);
  std::string Prefix = Request.parameter("prefix");
  std::string After = Request.parameter("after");
  Json Found = Json::array();
  for (const auto &[Key, Held] : Items_)
    if (Key.rfind(Prefix, 0) == 0 && Key > After)
      Found.push_back(toJson(Key, Held));
  return {200, {{"items", Found}, {"truncated", false}, {"as_of", Revision_}}};
}

std::pair<int, Json> Store::watch(const Message &Request) {
  std::string Prefix = Request.parameter("prefix");
  std::uint64_t After = std::stoull(Request.parameter("after"));
  Clock::time_point Until =
      Clock::now() + Ms(std::stoll(Request.parameter("wait_ms")));
  Json Events = Json::array();
  std::unique_lock Lock(Mutex_);
  if (After > Revision_)
    return {410, Json::object()};
  while (!IsAway_ && !IsStopping_) {
    for (const Event &Past : History_) {
      if (Past.Revision_ <= After || Past.Key_.rfind(Prefix, 0) != 0)
        continue;
      if (Past.Removed_)
        Events.push_back({{"key", Past.Key_},
                          {"revision", Past.Revision_},
                          {"removed", true}});
      else
        Events.push_back(toJson(Past.Key_, Past.Item_));
    }
    if (!Events.empty() || Clock::now() >= Until)
      return {200, {{"events", Events}, {"as_of", Revision_}}};
    Changed_.wait_until(Lock, Until);
  }
  return {0, Json()};
}

std::pair<int, Json> Store::transact(const Message &Request) {
  Json Body = Json::parse(Request.Body_);
  std::lock_guard Lock(Mutex_);
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Expected : Body.at("expected_revision")) {
    auto Key = Expected.at("key").get<std::string>();
    auto Found = Items_.find(Key);
    std::uint64_t Revision =
        Found == Items_.end() ? 0 : Found->second.Revision_;
    Holds = Holds && Revision == Expected.at("revision");
    if (Found != Items_.end())
      Current.push_back(toJson(Key, Found->second));
  }
  if (!Holds)
    return {412, {{"items", Current}}};
  for (const Json &Set : Body.at("set_keys")) {
    auto LeaseId = Set.value("lease", std::uint64_t{0});
    if (LeaseId != 0 && !Leases_.contains(LeaseId))
      return {404, Json::object()};
  }
  for (const Json &Set : Body.at("set_keys"))
    write(Set.at("key"), Set.at("value"), Set.value("lease", std::uint64_t{0}));
  for (const Json &Key : Body.at("remove"))
    erase(Key);
  return {200, {{"revision", Revision_}}};
}

std::pair<int, Json> Store::answerCall(const Message &Request) {
  const std::string Root = "/amaranthcourse/";
  std::string Call = Request.path();
  Call = Call.substr(std::min(Root.size(), Call.size()));
  if (Call == "kv-watch")
    return watch(Request);
  if (Call == "kv-range")
    return range(Request);
  if (Call == "kv-txn")
    return transact(Request);
  std::uint64_t Id =
      std::strtoull(Call.c_str() + Call.find('/') + 1, nullptr, 10);
  std::lock_guard Lock(Mutex_);
  if (Call == "kv-lease") {
    Ms TimeToLive(Json::parse(Request.Body_).at("ttl_ms").get<int>());
    Leases_[++LastLease_] = {Clock::now() + TimeToLive, TimeToLive};
    return {200, {{"lease", LastLease_}, {"ttl_ms", TimeToLive.count()}}};
  }
  if (Call.rfind("kv-keep/", 0) == 0) {
    auto Found = Leases_.find(Id);
    if (Found == Leases_.end())
      return {404, Json::object()};
    Found->second.Expiry_ = Clock::now() + Found->second.TimeToLive_;
    return {200, {{"ttl_ms", Found->second.TimeToLive_.count()}}};
  }
  if (Call.rfind("kv-lease-end/", 0) == 0) {
    endLease(Id);
    return {200, Json::object()};
  }
  if (Call == "kv-key") {
    auto Found = Items_.find(Request.parameter("key"));
    if (Found == Items_.end())
      return {404, {{"as_of", Revision_}}};
    Json Body = toJson(Found->first, Found->second);
    Body["as_of"] = Revision_;
    return {200, Body};
  }
  return {404, Json::object()};
}

bool Store::handle(Connection &Caller, const Message &Request) {
  {
    std::lock_guard Lock(Mutex_);
    if (IsAway_) {
      Caller.resetOnClose();
      return false;
    }
  }
  auto [Status, Body] = answerCall(Request);
  std::unique_lock Lock(Mutex_);
  if (IsAway_ || Status == 0)
    return false;
  std::string Era = std::to_string(Era_);
  Lock.unlock();
  return Caller.write(answer(
      Status, "Content-Type: application/json\r\nStore-Era: " + Era + "\r\n",
      Body.dump()));
}

Target::Target(Store &Registry, std::string Id, std::string Service,
               std::string Zone, int Slots, HttpServer::Handler Handle)
    : Registry_(Registry), Id_(std::move(Id)), Service_(std::move(Service)),
      Zone_(std::move(Zone)), Slots_(Slots),
      Born_(std::chrono::duration_cast<Ms>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  Server_ = std::make_unique<HttpServer>(
      [this, Handle](Connection &Caller, const Message &Request) {
        if (Request.field("Expect-Instance") != Id_)
          return Caller.write(answer(421, "Instance-Id: " + Id_ + "\r\n", ""));
        return Handle(Caller, Request);
      });
  Heart_ = std::thread([this] { beat(); });
}

Target::~Target() {
  {
    std::lock_guard Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  Heart_.join();
  Server_->stop();
}

void Target::drain() {
  {
    std::lock_guard Lock(Mutex_);
    State_ = "draining";
  }
  Changed_.notify_all();
}

void Target::beat() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_) {
    writeRecord();
    std::string Written = State_;
    Changed_.wait_for(Lock, HeartbeatPeriod,
                      [&] { return IsStopping_ || State_ != Written; });
  }
}

void Target::writeRecord() {
  Json Value{{"service", Service_},  {"address", Server_->address()},
             {"zone", Zone_},        {"version", "v1"},
             {"slots", Slots_},      {"state", State_},
             {"born", Born_},        {"cold_remaining_ms", 0},
             {"sequence", Sequence_}};
  ++Sequence_;
  std::string Key = "servers/" + Id_;
  if (auto Known = Registry_.get(Key)) {
    Known->first["sequence"] = Value["sequence"];
    if (Known->first == Value)
      return;
  }
  Registry_.put(Key, Value);
}

Host::Host(Store &Registry, const std::string &Folder, int Number,
           const std::string &Zone)
    : Name_("front-" + Zone + "-" + std::to_string(Number)),
      Front_(addressOf(freePort())), Ready_(addressOf(freePort())),
      Directory_(addressOf(freePort())) {
  std::string Settings = Folder + "/" + Name_ + ".conf";
  std::string PeerPort = std::to_string(freePort());
  std::ofstream(Settings)
      << "node=" << Name_ << "\nrole=entry\nmachine_class=front\n"
      << "serves=front,directory\nip=127.0.0.1\nzone=" << Zone
      << "\nregion=region\nzones." << Zone << "=region\nlisten.front=" << Front_
      << "\nlisten.ready=" << Ready_ << "\nlisten.directory=" << Directory_
      << "\ninternal_port_range=" << PeerPort << "," << PeerPort
      << "\nbootstrap=true\nlimits.cpu_share=0.5\nlimits.cores=1\n"
         "limits.memory_mb=520\nlimits.max_fds=8200\nlimits.link_mbps=1000.0\n"
         "discovery=platform\nentry=directory\nheartbeat_ms=1200\n"
         "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
         "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         "bounds.downgrade_slack_ms=250\nbounds.retry_budget_ratio=0.2\n"
         "bounds.budget_window_s=10\nbounds.retry_budget_extra=56\n"
         "bounds.ttl_max_s=5\nplatform.form=kv\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
      << "platform.address=" << Registry.address() << "\n";
  std::string Log = Folder + "/" + Name_ + ".log";
  std::string Boot = "AMARANTHCOURSE_BOOT=" + Settings;
  std::vector<char *> Variables{Boot.data()};
  for (char **Variable = environ; *Variable; ++Variable)
    Variables.push_back(*Variable);
  Variables.push_back(nullptr);
  Process_ = fork();
  if (Process_ != 0)
    return;
  // The host ends with the case, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execle("target/amaranthd", "target/amaranthd", "--platform", nullptr,
         Variables.data());
  _exit(127);
}

Host::~Host() {
  if (Process_ <= 0)
    return;
  kill(Process_, SIGCONT);
  kill(Process_, SIGKILL);
  waitpid(Process_, nullptr, 0);
}

bool Host::isReady() const {
  return call(Ready_,
              "GET /amaranthcourse/readiness HTTP/1.1\r\nHost: r\r\n\r\n",
              Ms{1000})
             .status() == 200;
}

std::size_t Host::named() const {
  Message Found = call(Directory_,
                       "GET /amaranthcourse/resolve?name=h.example&region="
                       "region&zone=none HTTP/1.1\r\nHost: d\r\n\r\n",
                       Ms{1000});
  if (Found.status() != 200)
    return 0;
  return Json::parse(Found.Body_).at("addresses").size();
}

void Host::signal(int Number) const { kill(Process_, Number); }

std::optional<int> Host::wait(Ms Limit) {
  int Status = 0;
  bool Ended = waitFor(
      [&] { return waitpid(Process_, &Status, WNOHANG) == Process_; }, Limit);
  if (!Ended)
    return std::nullopt;
  Process_ = -1;
  return Status;
}

std::vector<std::unique_ptr<Host>>
startHosts(Store &Registry, const std::string &Folder, int Count) {
  std::vector<std::unique_ptr<Host>> Hosts;
  for (int I = 0; I < Count; ++I)
    Hosts.push_back(std::make_unique<Host>(
        Registry, Folder, I, std::string(1, static_cast<char>('a' + I))));
  bool Serving = waitFor(
      [&] {
        for (const auto &Started : Hosts)
          if (!Started->isReady() || Started->named() != Hosts.size())
            return false;
        return true;
      },
      Ms{20000});
  if (!Serving)
    Hosts.clear();
  return Hosts;
}

TemporaryFolder::TemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Pattern.data()))
    Path_ = Pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  if (!Path_.empty())
    std::filesystem::remove_all(Path_, Ignored);
}

std::string recordPath() {
  const char *Path = std::getenv("RECORD");
  return Path ? Path : "record.txt";
}

bool hasTrouble() {
  const char *Trouble = std::getenv("TROUBLE");
  return !Trouble || std::string(Trouble) != "0";
}

bool waitFor(const std::function<bool()> &Condition, Ms Limit) {
  Clock::time_point Until = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= Until)
      return false;
    std::this_thread::sleep_for(Ms{20});
  }
  return true;
}

std::string newId() {
  static std::atomic<std::uint64_t> Last{
      static_cast<std::uint64_t>(Clock::now().time_since_epoch().count())};
  char Text[24];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(++Last));
  return Text;
}

} // namespace review
