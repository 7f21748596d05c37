#include "Coordination/Engines/EngineMemory.h"

#include <limits>

namespace amaranth::coordination {

using protocol::EngineTokens;

namespace {

/// Counts come from callers and peers; a sum of huge ones stays huge.
std::uint64_t addSaturated(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Most = std::numeric_limits<std::uint64_t>::max();
  return A > Most - B ? Most : A + B;
}

} // namespace

bool EngineMemory::fits(const std::string &Engine, const TokenDemand &Demand,
                        std::uint64_t Capacity, SteadyTime Now) const {
  if (Capacity == 0)
    return true;
  if (exceeds(Demand, Capacity))
    return false;
  std::uint64_t Held = peerTokens(Engine, Now).Tokens_;
  if (auto Found = Own_.find(Engine); Found != Own_.end())
    Held = addSaturated(Held, Found->second.Tokens_);
  return Held == 0 || addSaturated(Held, Demand.total()) <= Capacity;
}

void EngineMemory::begin(const std::string &Engine, const TokenDemand &Demand,
                         std::uint64_t Capacity) {
  Own &Entry = Own_[Engine];
  Entry.Tokens_ += Demand.total();
  Entry.Requests_ += 1;
  Entry.Capacity_ = Capacity;
}

void EngineMemory::end(const std::string &Engine, const TokenDemand &Demand) {
  auto Found = Own_.find(Engine);
  if (Found == Own_.end())
    return;
  Found->second.Tokens_ -= Demand.total();
  Found->second.Requests_ -= 1;
  if (Found->second.Requests_ == 0)
    Own_.erase(Found);
}

std::vector<EngineTokens> EngineMemory::report() const {
  std::vector<EngineTokens> Report;
  for (const auto &[Engine, Entry] : Own_)
    if (Entry.Capacity_ > 0 &&
        Entry.Tokens_ > Entry.Capacity_ / Settings_.ReportDivisor_)
      Report.push_back({Engine, Entry.Tokens_, Entry.Requests_});
  return Report;
}

void EngineMemory::onPeerReport(const std::string &Host,
                                const std::vector<EngineTokens> &Report,
                                SteadyTime Now) {
  if (Report.empty()) {
    Peers_.erase(Host);
    return;
  }
  PeerReport &Entry = Peers_[Host];
  Entry.ReceivedAt_ = Now;
  Entry.Engines_.clear();
  for (const EngineTokens &Engine : Report)
    Entry.Engines_[Engine.Engine_] = Engine;
}

EngineTokens EngineMemory::peerTokens(const std::string &Engine,
                                      SteadyTime Now) const {
  EngineTokens Sum;
  for (const auto &[Host, Report] : Peers_) {
    auto Found = Report.Engines_.find(Engine);
    if (Found == Report.Engines_.end() ||
        Now - Report.ReceivedAt_ >= Settings_.ReportLifetime_)
      continue;
    Sum.Tokens_ = addSaturated(Sum.Tokens_, Found->second.Tokens_);
    Sum.Requests_ = addSaturated(Sum.Requests_, Found->second.Requests_);
  }
  return Sum;
}

std::uint64_t EngineMemory::peerRequests(const std::string &Engine,
                                         SteadyTime Now) const {
  return peerTokens(Engine, Now).Requests_;
}

} // namespace amaranth::coordination
