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

StoreDouble::StoreDouble()
    : Server_(std::make_unique<RawServer>(
          [this](RawServerConnection &Connection, const RawRequest &Request) {
            return handle(Connection, Request);
          })) {}

StoreDouble::~StoreDouble() {
  setDown(true);
  Server_.reset();
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
  std::lock_guard Lock(Mutex_);
  write(Key, base64Encode(Value.dump()), false);
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

std::string StoreDouble::watch(const RawRequest &Request) {
  std::string Prefix = decodePercent(Request.queryParameter("prefix"));
  std::uint64_t After = std::stoull(Request.queryParameter("after"));
  Milliseconds Wait(std::stoll(Request.queryParameter("wait_ms")));
  json Events = json::array();
  std::unique_lock Lock(Mutex_);
  Changed_.wait_for(Lock, Wait, [&] {
    for (const Change &Event : History_)
      if (Event.Revision_ > After && Event.Key_.rfind(Prefix, 0) == 0)
        Events.push_back(toJson(Event));
    return IsDown_ || !Events.empty();
  });
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

bool StoreDouble::handle(RawServerConnection &Connection,
                         const RawRequest &Request) {
  std::string Call =
      Request.path().substr(std::string("/amaranthcourse/").size());
  if (Call == "kv-watch") {
    Connection.write(watch(Request));
    return true;
  }
  std::string Answer;
  {
    std::lock_guard Lock(Mutex_);
    if (IsDown_)
      Answer = rawAnswer(503, "", "");
    else if (Call == "kv-range")
      Answer = range(decodePercent(Request.queryParameter("prefix")));
    else if (Call == "kv-txn")
      Answer = transact(Request.Body_);
    else if (Call == "kv-lease")
      Answer = jsonAnswer(200, {{"lease", ++LastLease_}, {"ttl_ms", 20000}});
    else if (Call.rfind("kv-keep/", 0) == 0)
      Answer = jsonAnswer(200, {{"ttl_ms", 20000}});
    else
      Answer = rawAnswer(404, "", "");
  }
  Connection.write(Answer);
  return true;
}

} // namespace amaranth::integration
