#include "Transport/HttpServer.h"

#include "Transport/WorkArena.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <atomic>
#include <cassert>
#include <chrono>
#include <filesystem>
#include <map>
#include <mutex>

namespace amaranth::transport {

namespace {

/// Pending connections that the kernel holds for accept().
constexpr int ListenBacklog = 1024;

/// Requests served on one connection before it is closed.
constexpr std::size_t KeepAliveMaxRequests = 100000;

/// How often a stopping server looks for idle connections to end.
constexpr std::chrono::milliseconds IdleCheckPeriod{10};

/// A connection counts as idle only this long after its last bytes arrived,
/// because the library may be reading a request from them.
constexpr unsigned MinIdleMs = 100;

/// Counts the requests being served on each connection, by the caller's port.
/// A request counts until its reply has been written. Thread-safe.
class ActiveConnections final {
public:
  void begin(int CallerPort) {
    std::lock_guard Lock(Mutex_);
    ThreadPort = CallerPort;
    ++Requests_[CallerPort];
  }
  /// Ends the request of this thread, if it is serving one.
  void end() {
    std::lock_guard Lock(Mutex_);
    auto Found = Requests_.find(ThreadPort);
    if (Found != Requests_.end() && --Found->second == 0)
      Requests_.erase(Found);
    ThreadPort = 0;
  }
  bool contains(int CallerPort) {
    std::lock_guard Lock(Mutex_);
    return Requests_.contains(CallerPort);
  }

private:
  /// Caller's port of the request that this thread serves, or 0. The library
  /// serves a connection on one thread.
  static thread_local int ThreadPort;

  std::mutex Mutex_;
  std::map<int, int> Requests_;
};

thread_local int ActiveConnections::ThreadPort = 0;

/// Runs the library's connection handlers as tasks of an arena.
class ArenaTaskQueue final : public httplib::TaskQueue {
public:
  ArenaTaskQueue(WorkArena &Arena, ActiveConnections &Active)
      : Arena_(Arena), Active_(Active) {}

  void enqueue(std::function<void()> Task) override {
    Arena_.enqueue([&Active = Active_, Task = std::move(Task)] {
      Task();
      Active.end(); // The request of a connection that broke.
    });
  }
  void shutdown() override { Arena_.waitIdle(); }

private:
  WorkArena &Arena_;
  ActiveConnections &Active_;
};

class DataSinkAdapter final : public ChunkSink {
public:
  explicit DataSinkAdapter(httplib::DataSink &Sink) : Sink_(Sink) {}

  bool write(std::string_view Chunk) override {
    if (Chunk.empty())
      return true;
    return Sink_.write(Chunk.data(), Chunk.size());
  }

private:
  httplib::DataSink &Sink_;
};

HttpRequest toRequest(const httplib::Request &Source) {
  HttpRequest Request;
  Request.Method_ = Source.method;
  Request.Path_ = Source.path;
  for (const auto &[Name, Value] : Source.headers)
    Request.Headers_.add(Name, Value);
  for (std::size_t I = 1; I < Source.matches.size(); ++I)
    Request.PathParameters_.push_back(Source.matches[I].str());
  Request.Body_ = Source.body;
  return Request;
}

void writeReply(HttpReply Reply, httplib::Response &Response) {
  Response.status = Reply.Status_;
  for (const auto &[Name, Value] : Reply.Headers_)
    Response.set_header(Name, Value);
  if (!Reply.StreamBody_) {
    Response.set_content(std::move(Reply.Body_), Reply.ContentType_);
    return;
  }
  auto Provider = [Write = std::move(Reply.StreamBody_)](
                      std::size_t, httplib::DataSink &DataSink) {
    DataSinkAdapter Adapter(DataSink);
    Write(Adapter);
    DataSink.done();
    return true;
  };
  Response.set_chunked_content_provider(Reply.ContentType_,
                                        std::move(Provider));
}

/// The caller's port if \p Descriptor is a connection accepted on \p Port, or
/// 0.
int callerPort(int Descriptor, int Port) {
  sockaddr_in Local{};
  sockaddr_in Peer{};
  socklen_t LocalSize = sizeof(Local);
  socklen_t PeerSize = sizeof(Peer);
  auto *LocalAddress = reinterpret_cast<sockaddr *>(&Local);
  auto *PeerAddress = reinterpret_cast<sockaddr *>(&Peer);
  if (getsockname(Descriptor, LocalAddress, &LocalSize) != 0 ||
      getpeername(Descriptor, PeerAddress, &PeerSize) != 0)
    return 0;
  bool Accepted = Local.sin_family == AF_INET && ntohs(Local.sin_port) == Port;
  return Accepted ? ntohs(Peer.sin_port) : 0;
}

/// True if no bytes have arrived lately on the connection \p Descriptor.
bool isQuiet(int Descriptor) {
  int Unread = 0;
  if (ioctl(Descriptor, FIONREAD, &Unread) != 0 || Unread > 0)
    return false;
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0 &&
         Info.tcpi_last_data_recv >= MinIdleMs;
}

/// Shuts down the receiving side of the idle connections accepted on \p Port.
/// The library keeps idle connections until their keep-alive timeout and gives
/// no access to them, so stopping would take that long without this. Others are
/// left alone: the library writes nothing on a connection whose receiving side
/// has ended.
void endIdleConnections(int Port, ActiveConnections &Active) {
  std::error_code Ignored;
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd", Ignored)) {
    int Descriptor = std::atoi(Entry.path().filename().c_str());
    int Caller = callerPort(Descriptor, Port);
    if (Caller != 0 && isQuiet(Descriptor) && !Active.contains(Caller))
      ::shutdown(Descriptor, SHUT_RD);
  }
}

} // namespace

struct HttpServer::Implementation {
  explicit Implementation(const HttpServerSettings &Settings)
      : Arena_({Settings.MaxConnections_}) {}

  WorkArena Arena_;
  ActiveConnections Active_;
  httplib::Server Server_;
  std::atomic<int> Descriptor_{-1};
  std::atomic<bool> Ended_{false}; ///< All connections have ended.
};

HttpServer::HttpServer(const HttpServerSettings &Settings)
    : Settings_(Settings),
      Implementation_(std::make_unique<Implementation>(Settings)) {
  auto &Server = Implementation_->Server_;
  Server.new_task_queue = [this] {
    return new ArenaTaskQueue(Implementation_->Arena_,
                              Implementation_->Active_);
  };
  Server.set_pre_routing_handler(
      [this](const httplib::Request &Request, httplib::Response &) {
        Implementation_->Active_.begin(Request.remote_port);
        return httplib::Server::HandlerResponse::Unhandled;
      });
  // The library calls its logger when a reply has been written.
  Server.set_logger(
      [this](const httplib::Request &, const httplib::Response &) {
        Implementation_->Active_.end();
      });
  Server.set_keep_alive_max_count(KeepAliveMaxRequests);
  Server.set_keep_alive_timeout(Settings_.KeepAliveTimeout_.count());
  Server.set_read_timeout(Settings_.ReadTimeout_);
  Server.set_write_timeout(Settings_.WriteTimeout_);
  Server.set_payload_max_length(Settings_.MaxBodyBytes_);
  Server.set_tcp_nodelay(true);
  Server.set_socket_options([this](socket_t Socket) {
    int Enabled = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
    Implementation_->Descriptor_ = Socket;
  });
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::route(std::string_view Method, const std::string &Pattern,
                       Handler Handle) {
  auto Adapter = [Handle = std::move(Handle)](const httplib::Request &Source,
                                              httplib::Response &Response) {
    writeReply(Handle(toRequest(Source)), Response);
  };
  auto &Server = Implementation_->Server_;
  if (Method == "GET")
    Server.Get(Pattern, Adapter);
  else if (Method == "POST")
    Server.Post(Pattern, Adapter);
  else if (Method == "PUT")
    Server.Put(Pattern, Adapter);
  else if (Method == "DELETE")
    Server.Delete(Pattern, Adapter);
  else
    assert(false && "unsupported HTTP method");
}

Result<void> HttpServer::bind() {
  auto &Server = Implementation_->Server_;
  Port_ = Settings_.Port_;
  bool Bound = true;
  if (Port_ == 0) {
    Port_ = Server.bind_to_any_port(Settings_.Address_);
    Bound = Port_ > 0;
  } else {
    Bound = Server.bind_to_port(Settings_.Address_, Port_);
  }
  if (!Bound)
    return fail(ErrorCode::Unavailable, "cannot bind " + Settings_.Address_ +
                                            ":" +
                                            std::to_string(Settings_.Port_));
  // The library listened with a backlog of 5; listening again raises it.
  ::listen(Implementation_->Descriptor_, ListenBacklog);
  return {};
}

void HttpServer::serve() {
  auto &Server = Implementation_->Server_;
  Thread_ = std::thread([&Server, this] {
    Server.listen_after_bind();
    Implementation_->Ended_ = true;
  });
  // stop() before the accept loop runs would have no effect.
  while (!Server.is_running())
    std::this_thread::yield();
}

Result<void> HttpServer::start() {
  BOOST_LEAF_CHECK(bind());
  serve();
  return {};
}

void HttpServer::stop() {
  if (!Thread_.joinable())
    return;
  Implementation_->Server_.stop();
  while (!Implementation_->Ended_) {
    endIdleConnections(Port_, Implementation_->Active_);
    std::this_thread::sleep_for(IdleCheckPeriod);
  }
  Thread_.join();
}

} // namespace amaranth::transport
