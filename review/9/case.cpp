// A server runs an order and answers 503 without Not-Executed. The host passes
// the 503 on, which promises the caller that the order has not run.
#include "../common-2/SmallFleet.h"

#include <map>

using namespace amaranth;
using namespace amaranth::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr int ServerCount = 8;
constexpr int CallersPerHost = 4;
constexpr Milliseconds Work{60};
constexpr Milliseconds ContactTime{3000};
constexpr Seconds LoadTime{8};
/// The grey server fails requests in this part of the load only.
constexpr Milliseconds TroubleTime{6500};
/// The grey server fails so many of ten requests after it has run them.
constexpr int FailuresOfTen = 4;

/// The runs of each request and of each order, which a caller may send more
/// than once.
struct Runs {
  std::mutex Mutex_;
  std::map<std::string, int> ByRequest_;
  std::map<std::string, int> ByOrder_;
};

bool isPromise(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

Verdict run(Record &Log, const std::string &Folder) {
  StoreDouble Store;
  Store.put("op/config", configuration({plainRoute("order-place", "/pedido/",
                                                   "non_idempotent", "tienda")},
                                       {{{"name", "tienda"}}}));
  Runs Seen;
  std::atomic<int> GreyAnswers{0};
  std::atomic<bool> IsGrey{false};
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < ServerCount; ++I)
    Servers.push_back(std::make_unique<Server>(
        Store, "i-" + std::to_string(I), "tienda",
        [&, I](RawServerConnection &Connection, const RawRequest &Request) {
          std::string Id = Request.field("Request-Id");
          {
            std::lock_guard Lock(Seen.Mutex_);
            ++Seen.ByRequest_[Id];
            ++Seen.ByOrder_[Request.Body_];
          }
          sleepFor(Work);
          bool Fails = IsGrey && I == 0 && GreyAnswers++ % 10 < FailuresOfTen;
          Log.add("i-" + std::to_string(I) + " ran " + Id + " order " +
                  Request.Body_ + (Fails ? ", answers 503" : ""));
          Connection.write(integration::rawAnswer(
              Fails ? 503 : 200, ownFields(Request), std::string(800, 'x')));
          return true;
        }));
  Hosts Fleet(Store, HostCount, Folder);
  if (!Fleet.waitUntilReady(Seconds(20)))
    throw std::runtime_error("the hosts are not ready");
  sleepFor(ContactTime);
  SteadyTime End = SteadyClock::now() + LoadTime;
  IsGrey = hasTrouble();
  std::atomic<int> Served{0};
  std::atomic<int> FalsePromises{0};
  std::vector<std::thread> Callers;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    for (int I = 0; I < CallersPerHost; ++I)
      Callers.emplace_back([&, Host, I] {
        Caller Client(Fleet.callerPort(Host));
        for (int N = 0; SteadyClock::now() < End; ++N) {
          std::string Order = std::to_string(Host) + "-" + std::to_string(I) +
                              "-" + std::to_string(N);
          // One retry after a promise, on a new connection, with a new id.
          for (int Attempt = 0; Attempt < 2; ++Attempt) {
            std::string Id = "r" + Order + "-" + std::to_string(Attempt);
            Answer Got =
                Client.call(callerRequest("POST", "/pedido/a", Id, 1500, Order),
                            Milliseconds(2000));
            Log.add(Id + " status " + std::to_string(Got.Status_));
            if (Got.Status_ == 200)
              ++Served;
            if (!isPromise(Got.Status_))
              break;
            Client.disconnect();
            std::lock_guard Lock(Seen.Mutex_);
            if (Seen.ByRequest_.count(Id) > 0) {
              ++FalsePromises;
              Log.add(Id + " was answered " + std::to_string(Got.Status_) +
                      " and has run");
            }
          }
        }
      });
  sleepFor(TroubleTime);
  IsGrey = false;
  for (std::thread &Thread : Callers)
    Thread.join();
  std::lock_guard Lock(Seen.Mutex_);
  int Doubled = 0;
  for (const auto &[Order, Count] : Seen.ByOrder_)
    Doubled += Count > 1;
  Log.state("served " + std::to_string(Served) + ", refused though run " +
            std::to_string(FalsePromises) + ", orders that ran twice " +
            std::to_string(Doubled));
  if (Served == 0)
    return Verdict::CannotRun;
  return FalsePromises > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
