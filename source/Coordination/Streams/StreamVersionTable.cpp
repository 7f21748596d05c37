#include "Coordination/Streams/StreamVersionTable.h"

namespace amaranth::coordination {

StreamVersionTable::StreamVersionTable(StreamVersionTableSettings Settings)
    : Settings_(Settings) {}

void StreamVersionTable::onTarget(const state::TargetRecord &Target,
                                  SteadyTime Now) {
  auto Known = Targets_.find(Target.Id_);
  if (Known != Targets_.end()) {
    if (Known->second.Service_ == Target.Service_ &&
        Known->second.Version_ == Target.Version_)
      return;
    onTargetRemoved(Target.Id_, Now);
  }
  Targets_[Target.Id_] = {Target.Service_, Target.Version_};
  Versions_[Target.Service_][Target.Version_].Targets_.insert(Target.Id_);
}

void StreamVersionTable::onTargetRemoved(const std::string &Id,
                                         SteadyTime Now) {
  auto Known = Targets_.find(Id);
  if (Known == Targets_.end())
    return;
  VersionUse &Use = Versions_[Known->second.Service_][Known->second.Version_];
  Use.Targets_.erase(Id);
  Use.LastTargetLeftAt_ = Now;
  Targets_.erase(Known);
}

void StreamVersionTable::setCurrent(bool IsCurrent, SteadyTime Now) {
  if (!IsCurrent) {
    InterruptedAt_ = InterruptedAt_.value_or(Now);
    return;
  }
  bool MayHaveMissed =
      InterruptedAt_ && Now - *InterruptedAt_ > Settings_.ShortInterruption_;
  if (!CompleteSince_ || MayHaveMissed)
    CompleteSince_ = Now;
  InterruptedAt_.reset();
}

void StreamVersionTable::onStreamBegun(const std::string &Service,
                                       const std::string &StreamId,
                                       const std::string &Version,
                                       SteadyTime Now) {
  if (StreamId.empty() || StreamId.size() > Settings_.MaxIdBytes_)
    return;
  Streams_[StreamId] = {Service, Version, Now};
  Order_.push_back({StreamId, Now});
  while (Order_.size() > Settings_.MaxStreams_)
    forgetFirst();
}

std::optional<std::string>
StreamVersionTable::findVersion(const std::string &Service,
                                const std::string &StreamId,
                                SteadyTime Now) const {
  auto Found = Streams_.find(StreamId);
  if (Found == Streams_.end() ||
      Now - Found->second.RecordedAt_ > Settings_.Lifetime_)
    return onlyVersion(Service, Now);
  if (Found->second.Service_ != Service)
    return std::nullopt;
  return Found->second.Version_;
}

bool StreamVersionTable::isInUse(const VersionUse &Use, SteadyTime Now) const {
  return !Use.Targets_.empty() ||
         Now - Use.LastTargetLeftAt_ <= Settings_.Lifetime_;
}

std::optional<std::string>
StreamVersionTable::onlyVersion(const std::string &Service,
                                SteadyTime Now) const {
  if (InterruptedAt_ || !CompleteSince_ ||
      Now - *CompleteSince_ < Settings_.Lifetime_)
    return std::nullopt;
  auto Found = Versions_.find(Service);
  if (Found == Versions_.end())
    return std::nullopt;
  std::optional<std::string> Only;
  for (const auto &[Version, Use] : Found->second) {
    if (!isInUse(Use, Now))
      continue;
    if (Only)
      return std::nullopt;
    Only = Version;
  }
  return Only;
}

void StreamVersionTable::forgetFirst() {
  auto Found = Streams_.find(Order_.front().StreamId_);
  if (Found != Streams_.end() &&
      Found->second.RecordedAt_ == Order_.front().RecordedAt_)
    Streams_.erase(Found);
  Order_.pop_front();
}

void StreamVersionTable::forgetOld(SteadyTime Now) {
  while (!Order_.empty() &&
         Now - Order_.front().RecordedAt_ > Settings_.Lifetime_)
    forgetFirst();
  for (auto Service = Versions_.begin(); Service != Versions_.end();) {
    std::erase_if(Service->second, [&](const auto &Entry) {
      return !isInUse(Entry.second, Now);
    });
    Service =
        Service->second.empty() ? Versions_.erase(Service) : std::next(Service);
  }
}

} // namespace amaranth::coordination
