#include "Coordination/ClaimTable.h"

#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace amaranth::coordination {

namespace {

using protocol::Compare;
using protocol::Mutation;

std::string toJson(const Claim &NewClaim) {
  nlohmann::json Json;
  Json["host"] = NewClaim.Host_;
  Json["incarnation"] = NewClaim.Incarnation_;
  Json["instance"] = NewClaim.Instance_;
  Json["peer_address"] = NewClaim.PeerAddress_;
  Json["caller_address"] = NewClaim.CallerAddress_;
  Json["content"] = NewClaim.ContentDigest_;
  Json["expiry"] = NewClaim.Expiry_.count();
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
  Claim Parsed;
  Parsed.Host_ = Json["host"];
  Parsed.Incarnation_ = Json["incarnation"];
  Parsed.Instance_ = Json["instance"];
  Parsed.PeerAddress_ = Json["peer_address"];
  Parsed.CallerAddress_ = Json["caller_address"];
  Parsed.ContentDigest_ = Json["content"];
  Parsed.Expiry_ = Milliseconds(Json["expiry"].get<std::int64_t>());
  return Parsed;
}

ClaimResult foundResult(const protocol::KeyValue &Pair) {
  auto Parsed = fromJson(Pair.Value_);
  if (!Parsed)
    LogEvent(LogLevel::Error, "claim_unreadable").field("key", Pair.Key_);
  return {ClaimStatus::Found, std::move(Parsed)};
}

} // namespace

ClaimTable::ClaimTable(ClaimTableSettings Settings,
                       protocol::KeyValueStore &Store,
                       const MemberView &Members)
    : Settings_(Settings), Store_(Store), Members_(Members),
      AvailableWrites_(Settings.Burst_), RefilledAt_(SteadyClock::now()) {}

ClaimResult ClaimTable::claim(const std::string &Identity,
                              const Claim &NewClaim, SteadyTime Deadline) {
  if (!tryTakeWrite())
    return read(Identity, Deadline);
  std::string Key = prefix() + Identity;
  protocol::Transaction Create;
  Create.Conditions_.push_back({Key, Compare::Field::CreateRevision});
  Create.Writes_.push_back({Mutation::Kind::Put, Key, toJson(NewClaim)});
  Create.ReadOnFailure_.push_back(Key);
  while (remaining(Deadline) > Milliseconds{0}) {
    Milliseconds Timeout =
        std::min(Settings_.CallTimeout_, remaining(Deadline));
    auto Reply = capture([&] { return Store_.commit(Create, Timeout); });
    if (Reply && Reply->Succeeded_)
      return {ClaimStatus::Created, std::nullopt};
    if (Reply && !Reply->Found_.empty())
      return foundResult(Reply->Found_.front());
    // If an ambiguous attempt took effect, the next one finds the claim.
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
  return foundResult(Reply->Pairs_.front());
}

std::string ClaimTable::prefix() { return "/amaranth/claims/"; }

bool ClaimTable::tryTakeWrite() {
  double Alive = 0;
  for (const auto &Member : Members_.members())
    if (Member.Status_ != protocol::MemberStatus::Dead)
      ++Alive;
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  double Elapsed = std::chrono::duration<double>(Now - RefilledAt_).count();
  double Rate = Settings_.FleetWritesPerSecond_ / std::max(1.0, Alive);
  RefilledAt_ = Now;
  AvailableWrites_ =
      std::min(Settings_.Burst_, AvailableWrites_ + Elapsed * Rate);
  if (AvailableWrites_ < 1)
    return false;
  AvailableWrites_ -= 1;
  return true;
}

} // namespace amaranth::coordination
