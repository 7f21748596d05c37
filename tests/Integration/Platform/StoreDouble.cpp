#include "Integration/Platform/StoreDouble.h"

#include "Support/Digest.h"
#include "Support/Time.h"

namespace amaranth::integration {

using nlohmann::json;

namespace {

std::string jsonAnswer(int Status, const json &Body) {
  return rawAnswer(Status, "Content-Type: application/json\r\n", Body.dump());
}

std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  }
  return Result;
}

} // namespace

StoreDouble::StoreDouble() = default;

StoreDouble::~StoreDouble() {
  {
    std::lock_guard Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  Servers_.clear();
}

std::string StoreDouble::address(std::size_t Host) {
  std::unique_ptr<RawServer> &Server = Servers_[Host];
  if (!Server)
    Server = std::make_unique<RawServer>(
        [this, Host](RawServerConnection &Connection,
                     const RawRequest &Request) {
          std::optional<std::string> Answer =
              answer(Host, Connection.openedAt(), Request);
          if (Answer)
            Connection.write(*Answer);
          return true;
        });
  return Server->address();
}

void StoreDouble::write(const std::string &Key, const std::string &Value,
                        bool Removed) {
  Change NewChange{Key, ++Revision_, Removed, Value};
  if (Removed)
    Items_.erase(Key);
  else
    Items_[Key] = NewChange;
  History_.push_back(NewChange);
  Changed_.notify_all();
}

void StoreDouble::put(const std::string &Key, const json &Value) {
  putBytes(Key, Value.dump());
}

void StoreDouble::putBytes(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(Mutex_);
  write(Key, base64Encode(Value), false);
}

void StoreDouble::remove(const std::string &Key) {
  std::lock_guard Lock(Mutex_);
  write(Key, "", true);
}

void StoreDouble::setDown(bool Down) {
  std::lock_guard Lock(Mutex_);
  IsDown_ = Down;
  Changed_.notify_all();
}

void StoreDouble::setSilent(std::size_t Host) {
  std::lock_guard Lock(Mutex_);
  SilentHosts_.insert(Host);
  Changed_.notify_all();
}

void StoreDouble::silenceWaitingCalls() {
  std::lock_guard Lock(Mutex_);
  for (const auto &[Prefix, Hosts] : Watchers_)
    ++Silences_[Prefix];
  Changed_.notify_all();
}

void StoreDouble::silenceWaitingCalls(const std::string &Prefix) {
  std::lock_guard Lock(Mutex_);
  ++Silences_[Prefix];
  Changed_.notify_all();
}

void StoreDouble::silenceOpenConnections() {
  std::lock_guard Lock(Mutex_);
  SilentIfOpenedBy_ = SteadyClock::now();
  Changed_.notify_all();
}

bool StoreDouble::isSilent(std::size_t Host, SteadyTime OpenedAt) const {
  return SilentHosts_.contains(Host) || OpenedAt <= SilentIfOpenedBy_;
}

std::set<std::size_t> StoreDouble::watchingHosts(const std::string &Prefix) {
  std::lock_guard Lock(Mutex_);
  const std::multiset<std::size_t> &Hosts = Watchers_[Prefix];
  return {Hosts.begin(), Hosts.end()};
}

json StoreDouble::toJson(const Change &Item) {
  json Result{{"key", Item.Key_}, {"revision", Item.Revision_}};
  if (Item.Removed_)
    Result["removed"] = true;
  else
    Result["value"] = Item.Value_;
  return Result;
}

std::string StoreDouble::range(const std::string &Prefix) {
  json Items = json::array();
  for (const auto &[Key, Item] : Items_)
    if (Key.rfind(Prefix, 0) == 0)
      Items.push_back(toJson(Item));
  return jsonAnswer(
      200, {{"items", Items}, {"truncated", false}, {"as_of", Revision_}});
}

std::optional<std::string> StoreDouble::watch(std::size_t Host,
                                              SteadyTime OpenedAt,
                                              const RawRequest &Request) {
  std::string Prefix = decodePercent(Request.queryParameter("prefix"));
  std::uint64_t After = std::stoull(Request.queryParameter("after"));
  Milliseconds Wait(std::stoll(Request.queryParameter("wait_ms")));
  json Events = json::array();
  std::unique_lock Lock(Mutex_);
  int SilencesBefore = Silences_[Prefix];
  auto Position = Watchers_[Prefix].insert(Host);
  auto IsSilent = [&] {
    return Silences_[Prefix] != SilencesBefore || isSilent(Host, OpenedAt);
  };
  Changed_.wait_for(Lock, Wait, [&] {
    for (const Change &Event : History_)
      if (Event.Revision_ > After && Event.Key_.rfind(Prefix, 0) == 0)
        Events.push_back(toJson(Event));
    return IsStopping_ || IsDown_ || IsSilent() || !Events.empty();
  });
  Watchers_[Prefix].erase(Position);
  if (IsSilent())
    return std::nullopt;
  if (IsDown_)
    return rawAnswer(503, "", "");
  return jsonAnswer(200, {{"events", Events}, {"as_of", Revision_}});
}

std::string StoreDouble::transact(const std::string &Body) {
  json Call = json::parse(Body);
  for (const json &Write : Call.at("set_keys"))
    write(Write.at("key"), Write.at("value"), false);
  return jsonAnswer(200, {{"revision", Revision_}});
}

std::optional<std::string> StoreDouble::answer(std::size_t Host,
                                               SteadyTime OpenedAt,
                                               const RawRequest &Request) {
  std::string Call =
      Request.path().substr(std::string("/amaranthcourse/").size());
  if (Call == "kv-watch")
    return watch(Host, OpenedAt, Request);
  std::lock_guard Lock(Mutex_);
  if (isSilent(Host, OpenedAt))
    return std::nullopt;
  if (IsDown_)
    return rawAnswer(503, "", "");
  if (Call == "kv-range")
    return range(decodePercent(Request.queryParameter("prefix")));
  if (Call == "kv-txn")
    return transact(Request.Body_);
  if (Call == "kv-lease")
    return jsonAnswer(200, {{"lease", ++LastLease_}, {"ttl_ms", 20000}});
  if (Call.rfind("kv-keep/", 0) == 0)
    return jsonAnswer(200, {{"ttl_ms", 20000}});
  return rawAnswer(404, "", "");
}

} // namespace amaranth::integration
