// A model server in trouble sends bytes without end in the body of a stream.
// The host reads and passes them on without a pause, and does nothing else.
#include "../common-2/SmallFleet.h"

using namespace amaranth;
using namespace amaranth::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr int EngineCount = 3;
constexpr int CallersPerHost = 6;
constexpr Milliseconds Work{60};
constexpr Milliseconds ContactTime{3000};
constexpr Milliseconds SteadyLoad{3000};
constexpr int OrderTimeoutMs = 1500;
/// Time after the route's timeout until which an answer is expected.
constexpr Milliseconds AnswerSlack{500};
constexpr int StreamDeadlineMs = 12000;
/// A caller abandons a stream after a gap without events of four times the
/// objective (2200 ms), which is the longest of the three limits.
constexpr Milliseconds StreamGap{8800};
constexpr std::size_t BlockBytes = 65536;
/// The number of the only answer of the faulty engine that has no end: one in
/// so many.
constexpr int EndlessAnswer = 50;
constexpr Milliseconds StreamLoad{12000};

/// Reads a stream until its end or until \p Limit, and returns its bytes.
std::uint64_t readStream(int Port, const std::string &Request,
                         Milliseconds Limit) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::uint64_t Total = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
      0) {
    send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
    SteadyTime End = SteadyClock::now() + Limit;
    std::vector<char> Chunk(BlockBytes);
    while (SteadyClock::now() < End) {
      pollfd Poll{Socket, POLLIN, 0};
      if (poll(&Poll, 1, 100) <= 0)
        continue;
      ssize_t Count = recv(Socket, Chunk.data(), Chunk.size(), 0);
      if (Count <= 0)
        break;
      Total += static_cast<std::uint64_t>(Count);
    }
  }
  close(Socket);
  return Total;
}

bool streamEvents(RawServerConnection &Connection, const RawRequest &Request) {
  std::string Bytes = transport::statusLine(200) + ownFields(Request) +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
  for (int I = 1; I <= 40; ++I)
    Bytes += transport::encodeChunk("id: " + std::to_string(I) +
                                    "\ndata: " + std::string(65, 'x') + "\n\n");
  Connection.write(Bytes + std::string(transport::LastChunk));
  return true;
}

/// Sends the head of an answer and then bytes without end, until the connection
/// is closed.
bool streamWithoutEnd(RawServerConnection &Connection,
                      const RawRequest &Request) {
  Connection.write(transport::statusLine(200) + ownFields(Request) +
                   "Content-Type: text/event-stream\r\n\r\n");
  const std::string Block(BlockBytes, '\n');
  while (!Connection.waitForClose(0))
    Connection.write(Block);
  return false;
}

Verdict run(Record &Log, const std::string &Folder) {
  StoreDouble Store;
  json Stream =
      plainRoute("customer-reply", "/respuesta/", "streaming", "taller-llm");
  Stream["timeout_ms"] = StreamDeadlineMs;
  Stream["target_latency_ms"] = 2200;
  Stream["gap_aim_ms"] = 600;
  json Orders =
      plainRoute("order-place", "/pedido/", "non_idempotent", "tienda");
  Orders["timeout_ms"] = OrderTimeoutMs;
  Store.put("op/config",
            configuration({Stream, Orders},
                          {{{"name", "taller-llm"}}, {{"name", "tienda"}}}));
  std::atomic<int> FaultyAnswers{0};
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < EngineCount; ++I)
    Servers.push_back(std::make_unique<Server>(
        Store, "i-engine-" + std::to_string(I), "taller-llm",
        [&, I](RawServerConnection &Connection, const RawRequest &Request) {
          if (I > 0 || !hasTrouble() || ++FaultyAnswers != EndlessAnswer)
            return streamEvents(Connection, Request);
          Log.add("i-engine-0 answers " + Request.field("Request-Id") +
                  " without end");
          bool Kept = streamWithoutEnd(Connection, Request);
          Log.add("the connection of " + Request.field("Request-Id") +
                  " to i-engine-0 is closed");
          return Kept;
        }));
  for (int I = 0; I < 3; ++I)
    Servers.push_back(std::make_unique<Server>(
        Store, "i-order-" + std::to_string(I), "tienda",
        [&](RawServerConnection &Connection, const RawRequest &Request) {
          sleepFor(Work);
          Connection.write(integration::rawAnswer(200, ownFields(Request),
                                                  std::string(800, 'x')));
          return true;
        }));
  Hosts Fleet(Store, HostCount, Folder);
  if (!Fleet.waitUntilReady(Seconds(20)))
    throw std::runtime_error("the hosts are not ready");
  sleepFor(ContactTime);
  std::atomic<bool> Stop{false};
  std::atomic<int> Served{0};
  std::atomic<int> Unanswered{0};
  std::atomic<int> AnsweredLate{0};
  std::atomic<int> NotReady{0};
  std::vector<std::thread> Threads;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    for (int I = 0; I < CallersPerHost; ++I)
      Threads.emplace_back([&, Host, I] {
        Caller Client(Fleet.callerPort(Host));
        for (int N = 0; !Stop; ++N) {
          std::string Id = "r" + std::to_string(Host) + "x" +
                           std::to_string(I) + "x" + std::to_string(N);
          SteadyTime SentAt = SteadyClock::now();
          Answer Got = Client.call(callerRequest("POST", "/pedido/a", Id, 3000),
                                   Milliseconds(OrderTimeoutMs) + AnswerSlack);
          auto Took = std::chrono::duration_cast<Milliseconds>(
              SteadyClock::now() - SentAt);
          Log.add(Id + " host " + std::to_string(Host) + " status " +
                  std::to_string(Got.Status_) + " after " +
                  std::to_string(Took.count()) + " ms");
          if (Got.Status_ == 200)
            ++Served;
          if (!Got.Complete_ && Took >= Milliseconds(OrderTimeoutMs))
            ++Unanswered;
          else if (Took >= Milliseconds(OrderTimeoutMs))
            ++AnsweredLate;
        }
      });
    Threads.emplace_back([&, Host] {
      while (!Stop) {
        sleepFor(Seconds(1));
        if (Fleet.isReady(Host))
          continue;
        ++NotReady;
        Log.add("host " + std::to_string(Host) +
                " does not answer the readiness probe");
      }
    });
  }
  sleepFor(SteadyLoad);
  std::vector<std::thread> Streams;
  SteadyTime End = SteadyClock::now() + StreamLoad;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    for (int I = 0; I < 2; ++I)
      Streams.emplace_back([&, Host, I] {
        for (int N = 0; SteadyClock::now() < End; ++N) {
          std::string Id = "s" + std::to_string(Host) + "x" +
                           std::to_string(I) + "x" + std::to_string(N);
          std::string Request =
              callerRequest("POST", "/respuesta/a", Id, StreamDeadlineMs);
          Request.insert(Request.find("\r\n") + 2, "Connection: close\r\n");
          std::uint64_t Bytes =
              readStream(Fleet.callerPort(Host), Request, StreamGap);
          Log.add(Id + " read " + std::to_string(Bytes) + " bytes");
          sleepFor(Milliseconds(100));
        }
      });
  for (std::thread &Thread : Streams)
    Thread.join();
  sleepFor(Seconds(2));
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Log.state("orders served " + std::to_string(Served) +
            ", unanswered 0.5 s after their timeout " +
            std::to_string(Unanswered) + ", answered in that 0.5 s " +
            std::to_string(AnsweredLate) + ", probes of readiness failed " +
            std::to_string(NotReady));
  if (Served == 0)
    return Verdict::CannotRun;
  return Unanswered > AnsweredLate ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
