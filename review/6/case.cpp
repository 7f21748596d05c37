// A server breaks off a chunked answer within its last chunk; the host that
// reads the answer ends, together with all requests that it had passed on.
#include "../common-2/SmallFleet.h"

#include <map>

using namespace amaranth;
using namespace amaranth::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr int SoundServers = 3;
constexpr int CallersPerHost = 8;
constexpr Milliseconds Work{150};
/// The faulty server breaks off one answer in so many.
constexpr int BreakOffEvery = 50;
constexpr Seconds LoadTime{15};
/// The faulty server breaks off answers in this part of the load only.
constexpr Milliseconds TroubleTime{5500};
/// A machine is in touch when it has run for this long (contact_ms).
constexpr Milliseconds ContactTime{3000};
/// LOST allows so many.
constexpr int AllowedLosses = 3;

/// What the servers have seen.
class Runs final {
public:
  void add(const std::string &Id, bool IsSound) {
    std::lock_guard Lock(Mutex_);
    ById_[Id] = ById_[Id] || IsSound;
  }
  /// Whether a sound server has begun to run the request.
  bool atSoundServer(const std::string &Id) {
    std::lock_guard Lock(Mutex_);
    auto Found = ById_.find(Id);
    return Found != ById_.end() && Found->second;
  }

private:
  std::mutex Mutex_;
  std::map<std::string, bool> ById_;
};

bool answerWhole(RawServerConnection &Connection, const RawRequest &Request) {
  sleepFor(Work);
  Connection.write(
      integration::rawAnswer(200, ownFields(Request), std::string(800, 'x')));
  return true;
}

/// The head of a chunked answer without content and the first part of its last
/// chunk; then the connection ends.
bool breakOff(RawServerConnection &Connection, const RawRequest &Request) {
  sleepFor(Work);
  Connection.write(transport::statusLine(500) + ownFields(Request) +
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n");
  return false;
}

Verdict run(Record &Log, const std::string &Folder) {
  StoreDouble Store;
  Store.put(
      "op/config",
      configuration(
          {plainRoute("order-place", "/pedido/", "non_idempotent", "tienda"),
           plainRoute("order-look", "/estado/", "idempotent", "tienda")},
          {{{"name", "tienda"}}}));
  Runs Seen;
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < SoundServers; ++I)
    Servers.push_back(std::make_unique<Server>(
        Store, "i-sound-" + std::to_string(I), "tienda",
        [&](RawServerConnection &Connection, const RawRequest &Request) {
          Seen.add(Request.field("Request-Id"), true);
          return answerWhole(Connection, Request);
        }));
  std::atomic<int> FaultyAnswers{0};
  std::atomic<bool> IsFaulty{false};
  Servers.push_back(std::make_unique<Server>(
      Store, "i-faulty", "tienda",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        std::string Id = Request.field("Request-Id");
        Seen.add(Id, false);
        if (!IsFaulty || ++FaultyAnswers % BreakOffEvery != 0)
          return answerWhole(Connection, Request);
        Log.add("i-faulty breaks off its answer to " + Id);
        return breakOff(Connection, Request);
      }));
  Hosts Fleet(Store, HostCount, Folder);
  if (!Fleet.waitUntilReady(Seconds(20)))
    throw std::runtime_error("the hosts are not ready");
  // Hosts find each other and come into touch.
  sleepFor(ContactTime);
  SteadyTime End = SteadyClock::now() + LoadTime;
  IsFaulty = hasTrouble();
  std::atomic<int> Losses{0};
  std::atomic<int> Answered{0};
  std::vector<std::atomic<bool>> Ended(HostCount);
  std::vector<std::thread> Callers;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    for (int I = 0; I < CallersPerHost; ++I)
      Callers.emplace_back([&, Host, I] {
        Caller Client(Fleet.callerPort(Host));
        // A host that has ended is not started again here: only its first end
        // is judged.
        for (int N = 0; SteadyClock::now() < End && !Ended[Host]; ++N) {
          std::string Id = "r" + std::to_string(Host) + "x" +
                           std::to_string(I) + "x" + std::to_string(N);
          bool IsOrder = N % 2 == 0;
          bool IsKept = Client.answeredHere() > 0;
          Answer Got = Client.call(
              callerRequest("POST", IsOrder ? "/pedido/a" : "/estado/a", Id,
                            2500),
              Milliseconds(3000));
          Log.add(Id + (IsOrder ? " order" : " look") + " host " +
                  std::to_string(Host) + " status " +
                  std::to_string(Got.Status_) +
                  (Got.Complete_ ? "" : " incomplete"));
          if (Got.Complete_) {
            ++Answered;
            continue;
          }
          if (IsKept && Got.Status_ == 0 && Seen.atSoundServer(Id)) {
            ++Losses;
            Log.add(Id + " was at a sound server; its connection ended "
                         "without an answer");
          }
          Ended[Host] = true;
        }
      });
  sleepFor(TroubleTime);
  IsFaulty = false;
  for (std::thread &Thread : Callers)
    Thread.join();
  int EndedByThemselves = 0;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    std::optional<ExitStatus> Exit =
        Fleet.process(Host).waitExit(Milliseconds(200));
    if (!Exit)
      continue;
    ++EndedByThemselves;
    Log.state("host " + std::to_string(Host) + " ended by itself, signal " +
              std::to_string(Exit->Signal_));
  }
  Log.state("answered " + std::to_string(Answered) +
            ", lost at sound servers " + std::to_string(Losses) +
            ", hosts that ended " + std::to_string(EndedByThemselves));
  if (Answered == 0)
    return Verdict::CannotRun;
  return Losses > AllowedLosses ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
