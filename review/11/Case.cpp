// A drill of the store: it is away for a second and comes back from a copy that
// is four seconds old. Then the operator moves a route and takes a key away.
#include "../support-3/Support.h"

using namespace review;

namespace {

constexpr int HostCount = 3;
constexpr Ms ConfigApply{2000};
constexpr Ms Contact{3000};
/// The copy is this old when the store goes away.
constexpr Ms CopyAge{4000};
constexpr Ms AwayTime{1000};
/// Requests are judged for this long.
constexpr Ms JudgedTime{12000};

Json route(const char *Prefix, const char *Kind, const char *Service) {
  return {{"name", std::string("r-") + Service + Prefix[1]},
          {"host", "h.example"},
          {"prefix", Prefix},
          {"kind", Kind},
          {"timeout_ms", 1500},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", Service},
          {"max_attempts", 1},
          {"stages", Json::array()},
          {"public", false}};
}

/// \p Timeout changes with each version; the orders go to \p Orders, and the
/// key "key-b" is there if \p HasSecondKey.
Json configuration(int Version, int Timeout, const char *Orders,
                   bool HasSecondKey) {
  Json Order = route("/order/", "non_idempotent", Orders);
  Order["timeout_ms"] = Timeout;
  Json Keys = Json::array({"key-a"});
  if (HasSecondKey)
    Keys.push_back("key-b");
  return {{"version", Version},
          {"routes", {Order, route("/look/", "idempotent", "desk-old")}},
          {"services",
           {{{"name", "desk-old"}, {"health_path", "/health"}},
            {{"name", "desk-new"}, {"health_path", "/health"}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {{{"name", "tenant"}, {"api_keys", Keys}}}}};
}

class Case final {
public:
  int run();

private:
  std::unique_ptr<Target> newTarget(const char *Id, const char *Service);
  /// Writes a configuration; returns when the store has acknowledged it.
  void apply(const Json &Configuration);
  /// Sends an order through \p Entry; returns the service that ran it.
  std::string order(const Host &Entry, const std::string &Key);

  Record Record_{recordPath()};
  Store Store_;
  std::mutex Mutex_;
  std::map<std::string, std::string> RunBy_; ///< Services by request id.
};

std::unique_ptr<Target> Case::newTarget(const char *Id, const char *Service) {
  return std::make_unique<Target>(
      Store_, Id, Service, "a", 6,
      [this, Service](Connection &Caller, const Message &Request) {
        std::string RequestId = Request.field("Request-Id");
        {
          std::lock_guard Lock(Mutex_);
          RunBy_[RequestId] = Service;
        }
        return Caller.write(answer(200,
                                   "Request-Id: " + RequestId +
                                       "\r\nResponse-Signature: sig-" +
                                       RequestId + "\r\n",
                                   "done"));
      });
}

void Case::apply(const Json &Configuration) {
  auto Revision = Store_.put("op/config", Configuration);
  Record_.line("operator writes version " + Configuration["version"].dump() +
               ": orders to " +
               Configuration["routes"][0]["service"].get<std::string>() +
               ", keys " + Configuration["tenants"][0]["api_keys"].dump() +
               "; acknowledged with revision " +
               std::to_string(Revision.value_or(0)));
}

std::string Case::order(const Host &Entry, const std::string &Key) {
  std::string Id = newId();
  Message Answer = call(Entry.front(),
                        "POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
                        "Request-Id: " +
                            Id + "\r\nKey: " + Key +
                            "\r\nDeadline-Ms: 1500\r\nContent-Length: 2\r\n"
                            "\r\n{}",
                        Ms{2500});
  std::lock_guard Lock(Mutex_);
  auto Found = RunBy_.find(Id);
  std::string Service = Found == RunBy_.end() ? "" : Found->second;
  Record_.line("order " + Id + " with " + Key + " to " + Entry.name() +
               ": answered " + std::to_string(Answer.status()) + ", run by " +
               (Service.empty() ? "nobody" : Service));
  return Service;
}

int Case::run() {
  TemporaryFolder Folder;
  bool Trouble = hasTrouble();
  apply(configuration(3, 1500, "desk-old", true));
  std::vector<std::unique_ptr<Target>> Targets;
  Targets.push_back(newTarget("i-old-1", "desk-old"));
  Targets.push_back(newTarget("i-old-2", "desk-old"));
  Targets.push_back(newTarget("i-new-1", "desk-new"));
  Targets.push_back(newTarget("i-new-2", "desk-new"));
  auto Hosts = startHosts(Store_, Folder.path(), HostCount);
  if (Hosts.empty())
    return CouldNotRun;
  for (const auto &Entry : Hosts)
    if (order(*Entry, "key-b") != "desk-old")
      return CouldNotRun;

  Store::Copy Copy = Store_.copy();
  Record_.line("the store's copy is made at revision " +
               std::to_string(Copy.Revision_));
  std::this_thread::sleep_for(CopyAge / 4);
  apply(configuration(5, 1400, "desk-old", true));
  std::this_thread::sleep_for(CopyAge / 4);
  apply(configuration(6, 1500, "desk-old", true));
  std::this_thread::sleep_for(CopyAge / 4);
  Json Latest = configuration(8, 1600, "desk-old", true);
  apply(Latest);
  std::this_thread::sleep_for(CopyAge / 4);
  if (Trouble) {
    Record_.line("the store goes away for a drill");
    Store_.goAway();
    std::this_thread::sleep_for(AwayTime);
    Store_.comeBack(Copy);
    Record_.line("the store is back from the copy, at revision " +
                 std::to_string(Store_.revision()));
    apply(Latest);
  }
  // The servers have written their records again, and the machines are in
  // touch again.
  std::this_thread::sleep_for(Contact + Ms{1500});
  for (const auto &Entry : Hosts)
    if (order(*Entry, "key-b") != "desk-old")
      return CouldNotRun;

  apply(configuration(9, 1500, "desk-new", false));
  std::this_thread::sleep_for(ConfigApply + Ms{500});
  Record_.line("from here on, version 9 must be in force");
  int Orders = 0;
  int ByOldVersion = 0;
  auto Until = Clock::now() + JudgedTime;
  while (Clock::now() < Until) {
    for (const auto &Entry : Hosts) {
      ++Orders;
      ByOldVersion += order(*Entry, "key-a") == "desk-old";
      ++Orders;
      ByOldVersion += !order(*Entry, "key-b").empty();
    }
    std::this_thread::sleep_for(Ms{1000});
  }
  Record_.line("orders sent later than config_apply_ms after the "
               "acknowledgement of version 9: " +
               std::to_string(Orders) +
               "; handled as only an older version allows: " +
               std::to_string(ByOldVersion));
  return ByOldVersion > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main() { return Case().run(); }
