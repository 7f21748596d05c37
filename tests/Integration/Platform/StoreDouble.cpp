#include "Integration/Platform/StoreDouble.h"

#include "Support/Digest.h"
#include "Support/Time.h"

#include <stdexcept>

namespace amaranth::integration {

using nlohmann::json;

namespace {

constexpr int LeaseTimeMs = 20000;

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
  if (IsAway_)
    throw std::logic_error("the store is away");
  Change NewChange{Key, ++Contents_.Revision_, Removed, Value};
  if (Removed)
    Contents_.Items_.erase(Key);
  else
    Contents_.Items_[Key] = NewChange;
  Contents_.History_.push_back(NewChange);
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

StoreDouble::Copy StoreDouble::copy() {
  std::lock_guard Lock(Mutex_);
  return Contents_;
}

void StoreDouble::goAway() {
  std::lock_guard Lock(Mutex_);
  IsAway_ = true;
}

void StoreDouble::comeBack() {
  std::lock_guard Lock(Mutex_);
  IsAway_ = false;
  Changed_.notify_all();
}

void StoreDouble::comeBack(const Copy &Earlier, WaitingWatches Waiting) {
  std::lock_guard Lock(Mutex_);
  IsAway_ = false;
  Contents_ = Earlier;
  Waiting_ = Waiting;
  ++Era_;
  Changed_.notify_all();
}

void StoreDouble::setEraFields(std::optional<std::vector<std::string>> Values) {
  std::lock_guard Lock(Mutex_);
  EraFields_ = std::move(Values);
}

void StoreDouble::holdAnswer(std::size_t Host, const std::string &Call,
                             const std::string &Prefix) {
  std::lock_guard Lock(Mutex_);
  Held_ = HeldAnswer{Host, Call, Prefix};
}

bool StoreDouble::isAnswerHeld() {
  std::lock_guard Lock(Mutex_);
  return Held_ && Held_->IsHeld_;
}

void StoreDouble::deliverHeldAnswer() {
  std::lock_guard Lock(Mutex_);
  Held_.reset();
  Changed_.notify_all();
}

void StoreDouble::delayIfHeld(std::size_t Host, const std::string &Call,
                              const std::string &Prefix,
                              std::unique_lock<std::mutex> &Lock) {
  if (!Held_ || Held_->IsHeld_ || Held_->Host_ != Host ||
      Held_->Call_ != Call || Held_->Prefix_ != Prefix)
    return;
  Held_->IsHeld_ = true;
  Changed_.wait(Lock, [this] { return IsStopping_ || !Held_; });
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

std::string StoreDouble::eraFields() const {
  std::string Fields;
  for (const std::string &Value :
       EraFields_.value_or(std::vector{std::to_string(Era_)}))
    Fields += "Store-Era: " + Value + "\r\n";
  return Fields;
}

std::string StoreDouble::statusAnswer(int Status) const {
  return rawAnswer(Status, eraFields(), "");
}

std::string StoreDouble::jsonAnswer(const json &Body) const {
  return rawAnswer(200, "Content-Type: application/json\r\n" + eraFields(),
                   Body.dump());
}

std::string StoreDouble::range(std::size_t Host, const std::string &Prefix,
                               std::unique_lock<std::mutex> &Lock) {
  json Items = json::array();
  for (const auto &[Key, Item] : Contents_.Items_)
    if (Key.rfind(Prefix, 0) == 0)
      Items.push_back(toJson(Item));
  std::string Answer = jsonAnswer(
      {{"items", Items}, {"truncated", false}, {"as_of", Contents_.Revision_}});
  delayIfHeld(Host, "kv-range", Prefix, Lock);
  return Answer;
}

std::optional<std::string> StoreDouble::watch(std::size_t Host,
                                              SteadyTime OpenedAt,
                                              const RawRequest &Request) {
  std::string Prefix = decodePercent(Request.queryParameter("prefix"));
  std::uint64_t After = std::stoull(Request.queryParameter("after"));
  Milliseconds Wait(std::stoll(Request.queryParameter("wait_ms")));
  json Events = json::array();
  std::unique_lock Lock(Mutex_);
  if (IsAway_ && !isSilent(Host, OpenedAt))
    return statusAnswer(503);
  int SilencesBefore = Silences_[Prefix];
  std::uint64_t EraBefore = Era_;
  auto Position = Watchers_[Prefix].insert(Host);
  auto IsSilent = [&] {
    return Silences_[Prefix] != SilencesBefore || isSilent(Host, OpenedAt);
  };
  auto LacksRevision = [&] {
    return After > Contents_.Revision_ &&
           (Era_ == EraBefore || Waiting_ == WaitingWatches::End);
  };
  Changed_.wait_for(Lock, Wait, [&] {
    for (const Change &Event : Contents_.History_)
      if (Event.Revision_ > After && Event.Key_.rfind(Prefix, 0) == 0)
        Events.push_back(toJson(Event));
    return IsStopping_ || IsDown_ || IsSilent() || LacksRevision() ||
           !Events.empty();
  });
  Watchers_[Prefix].erase(Position);
  if (IsSilent())
    return std::nullopt;
  if (IsDown_)
    return statusAnswer(503);
  if (LacksRevision())
    return statusAnswer(410);
  std::string Answer =
      jsonAnswer({{"events", Events}, {"as_of", Contents_.Revision_}});
  if (!Events.empty())
    delayIfHeld(Host, "kv-watch", Prefix, Lock);
  return Answer;
}

std::string StoreDouble::transact(const std::string &Body) {
  json Call = json::parse(Body);
  for (const json &Write : Call.at("set_keys")) {
    std::uint64_t Lease = Write.value("lease", std::uint64_t{0});
    if (Lease != 0 && !Contents_.Leases_.contains(Lease))
      return statusAnswer(404);
  }
  for (const json &Write : Call.at("set_keys"))
    write(Write.at("key"), Write.at("value"), false);
  return jsonAnswer({{"revision", Contents_.Revision_}});
}

std::string StoreDouble::keepLease(const std::string &Id) {
  if (!Contents_.Leases_.contains(std::stoull(Id)))
    return statusAnswer(404);
  return jsonAnswer({{"ttl_ms", LeaseTimeMs}});
}

std::optional<std::string> StoreDouble::answer(std::size_t Host,
                                               SteadyTime OpenedAt,
                                               const RawRequest &Request) {
  const std::string KeepCall = "kv-keep/";
  std::string Call =
      Request.path().substr(std::string("/amaranthcourse/").size());
  if (Call == "kv-watch")
    return watch(Host, OpenedAt, Request);
  std::unique_lock Lock(Mutex_);
  if (isSilent(Host, OpenedAt))
    return std::nullopt;
  if (IsDown_ || IsAway_)
    return statusAnswer(503);
  if (Call == "kv-range")
    return range(Host, decodePercent(Request.queryParameter("prefix")), Lock);
  if (Call == "kv-txn")
    return transact(Request.Body_);
  if (Call == "kv-lease") {
    Contents_.Leases_.insert(++Contents_.LastLease_);
    return jsonAnswer(
        {{"lease", Contents_.LastLease_}, {"ttl_ms", LeaseTimeMs}});
  }
  if (Call.rfind(KeepCall, 0) == 0)
    return keepLease(Call.substr(KeepCall.size()));
  return statusAnswer(404);
}

} // namespace amaranth::integration
