#include "Coordination/ClaimTable.h"

#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace amaranth::coordination {

namespace {

using protocol::Compare;
using protocol::Mutation;

std::string toJson(const Claim &Mine) {
  nlohmann::json Json;
  Json["host"] = Mine.Host_;
  Json["incarnation"] = Mine.Incarnation_;
  Json["instance"] = Mine.Instance_;
  Json["peer_address"] = Mine.PeerAddress_;
  Json["caller_address"] = Mine.CallerAddress_;
  Json["content"] = Mine.ContentDigest_;
  Json["expiry"] = Mine.Expiry_.count();
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Claim> fromJson(const std::string &Text) {
  auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  for (const char *Field :
       {"host", "instance", "peer_address", "caller_address", "content"})
    if (!Json.contains(Field) || !Json[Field].is_string())
      return std::nullopt;
  for (const char *Field : {"incarnation", "expiry"})
    if (!Json.contains(Field) || !Json[Field].is_number_integer())
      return std::nullopt;
  Claim Read;
  Read.Host_ = Json["host"];
  Read.Incarnation_ = Json["incarnation"];
  Read.Instance_ = Json["instance"];
  Read.PeerAddress_ = Json["peer_address"];
  Read.CallerAddress_ = Json["caller_address"];
  Read.ContentDigest_ = Json["content"];
  Read.Expiry_ = Milliseconds(Json["expiry"].get<std::int64_t>());
  return Read;
}

ClaimResult found(const protocol::KeyValue &Pair) {
  auto Read = fromJson(Pair.Value_);
  if (!Read)
    LogEvent(LogLevel::Error, "claim_unreadable").field("key", Pair.Key_);
  return {ClaimStatus::Found, std::move(Read)};
}

} // namespace

ClaimTable::ClaimTable(ClaimTableSettings Settings,
                       protocol::KeyValueStore &Store,
                       const MemberView &Members)
    : Settings_(Settings), Store_(Store), Members_(Members),
      Budget_(Settings.Burst_), Refilled_(SteadyClock::now()) {}

ClaimResult ClaimTable::claim(const std::string &Identity, const Claim &Mine,
                              SteadyTime Deadline) {
  if (!takeBudget())
    return read(Identity, Deadline);
  std::string Key = prefix() + Identity;
  protocol::Transaction Create;
  Create.Conditions_.push_back({Key, Compare::Field::CreateRevision});
  Create.Writes_.push_back({Mutation::Kind::Put, Key, toJson(Mine)});
  Create.ReadOnFailure_.push_back(Key);
  while (remaining(Deadline) > Milliseconds{0}) {
    Milliseconds Timeout =
        std::min(Settings_.CallTimeout_, remaining(Deadline));
    auto Reply = capture([&] { return Store_.commit(Create, Timeout); });
    if (Reply && Reply->Succeeded_)
      return {ClaimStatus::Created, std::nullopt};
    if (Reply && !Reply->Found_.empty())
      return found(Reply->Found_.front());
    // An ambiguous attempt that took effect is found by the next one.
    if (!Reply && Reply.error().Code_ != ErrorCode::Ambiguous)
      break;
    std::this_thread::sleep_for(
        std::min(Settings_.RetryDelay_, remaining(Deadline)));
  }
  return {ClaimStatus::Unavailable, std::nullopt};
}

ClaimResult ClaimTable::read(const std::string &Identity, SteadyTime Deadline) {
  Milliseconds Timeout = std::min(Settings_.CallTimeout_, remaining(Deadline));
  auto Reply = capture(
      [&] { return Store_.range(prefix() + Identity, false, Timeout); });
  if (!Reply)
    return {ClaimStatus::Unavailable, std::nullopt};
  if (Reply->Pairs_.empty())
    return {ClaimStatus::Absent, std::nullopt};
  return found(Reply->Pairs_.front());
}

std::string ClaimTable::prefix() { return "/amaranth/claims/"; }

bool ClaimTable::takeBudget() {
  double Alive = 0;
  for (const auto &Member : Members_.members())
    if (Member.Status_ != protocol::MemberStatus::Dead)
      ++Alive;
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  double Elapsed = std::chrono::duration<double>(Now - Refilled_).count();
  double Rate = Settings_.FleetWritesPerSecond_ / std::max(1.0, Alive);
  Refilled_ = Now;
  Budget_ = std::min(Settings_.Burst_, Budget_ + Elapsed * Rate);
  if (Budget_ < 1)
    return false;
  Budget_ -= 1;
  return true;
}

} // namespace amaranth::coordination
