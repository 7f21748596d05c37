#include "Coordination/Streams/ServiceVersions.h"

#include <algorithm>

namespace amaranth::coordination {

ServiceVersions::ServiceVersions(ServiceVersionsSettings Settings)
    : Settings_(Settings) {}

void ServiceVersions::setRoutes(
    const std::vector<std::set<std::string>> &Routes) {
  ResumableServices_.clear();
  for (const std::set<std::string> &Services : Routes)
    for (const std::string &Service : Services)
      ResumableServices_[Service].insert(Services.begin(), Services.end());
}

const ServiceVersions::States *
ServiceVersions::findService(const std::string &Service) const {
  auto Found = Services_.find(Service);
  return Found == Services_.end() ? nullptr : &Found->second;
}

const ServiceVersions::State *
ServiceVersions::findState(const VersionName &Name) const {
  const States *Service = findService(Name.Service_);
  if (!Service)
    return nullptr;
  auto Found = Service->find(Name.Version_);
  return Found == Service->end() ? nullptr : &Found->second;
}

ServiceVersions::State &ServiceVersions::state(const VersionName &Name) {
  return Services_[Name.Service_][Name.Version_];
}

bool ServiceVersions::isInWindow(const State &Version, SteadyTime Now) const {
  return Version.Targets_ > 0 || !Version.Key_.empty() ||
         (Version.LastRegisteredAt_ &&
          Now - *Version.LastRegisteredAt_ < Settings_.Window_);
}

void ServiceVersions::setTarget(const std::string &Id, VersionName Name,
                                bool IsReady, SteadyTime Now) {
  removeTarget(Id, Now);
  State &Version = state(Name);
  if (Version.Targets_ == 0 && !Version.LastRegisteredAt_)
    Version.FirstRegisteredAt_ = Now;
  ++Version.Targets_;
  Version.ReadyTargets_ += IsReady ? 1 : 0;
  Targets_[Id] = {std::move(Name), IsReady};
}

void ServiceVersions::removeTarget(const std::string &Id, SteadyTime Now) {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end())
    return;
  State &Version = state(Found->second.Name_);
  --Version.Targets_;
  Version.ReadyTargets_ -= Found->second.IsReady_ ? 1 : 0;
  if (Version.Targets_ == 0)
    Version.LastRegisteredAt_ = Now;
  Targets_.erase(Found);
}

void ServiceVersions::setRecord(const std::string &Key, VersionName Name,
                                SteadyTime Now) {
  auto Known = Records_.find(Key);
  if (Known != Records_.end() && Known->second != Name)
    removeRecord(Key);
  State &Version = state(Name);
  Version.Key_ = Key;
  Version.RecordedAt_ = Now;
  // What a starting host reads was recorded before; the versions may be used
  // at once.
  if (!Version.FirstRecordedAt_)
    Version.FirstRecordedAt_ = IsComplete_ ? Now : Now - Settings_.SettleTime_;
  Records_[Key] = std::move(Name);
}

void ServiceVersions::removeRecord(const std::string &Key) {
  auto Found = Records_.find(Key);
  if (Found == Records_.end())
    return;
  State &Version = state(Found->second);
  if (Version.Key_ == Key)
    Version.Key_.clear();
  Records_.erase(Found);
}

void ServiceVersions::forgetOld(SteadyTime Now) {
  for (auto &[Service, Versions] : Services_)
    std::erase_if(Versions, [&](const auto &Entry) {
      return !isInWindow(Entry.second, Now);
    });
  std::erase_if(Services_,
                [](const auto &Entry) { return Entry.second.empty(); });
}

std::set<std::string>
ServiceVersions::versionsInWindow(const std::string &Service,
                                  SteadyTime Now) const {
  std::set<std::string> Names;
  if (const States *Versions = findService(Service))
    for (const auto &[Name, Entry] : *Versions)
      if (isInWindow(Entry, Now))
        Names.insert(Name);
  return Names;
}

std::set<std::string>
ServiceVersions::alternatives(const std::string &Service) const {
  auto Found = ResumableServices_.find(Service);
  return Found == ResumableServices_.end() ? std::set{Service} : Found->second;
}

bool ServiceVersions::hasSeveral(const std::string &Service,
                                 SteadyTime Now) const {
  std::set<std::string> Names;
  for (const std::string &Alternative : alternatives(Service))
    Names.merge(versionsInWindow(Alternative, Now));
  return Names.size() > 1;
}

std::set<std::string> ServiceVersions::withSeveral(SteadyTime Now) const {
  std::set<std::string> Names;
  for (const auto &[Service, Alternatives] : ResumableServices_)
    if (hasSeveral(Service, Now))
      Names.insert(Service);
  return Names;
}

std::optional<std::string> ServiceVersions::findOnly(const std::string &Service,
                                                     SteadyTime Now) const {
  const States *Versions = findService(Service);
  if (!IsComplete_ || !Versions || hasSeveral(Service, Now))
    return std::nullopt;
  for (const auto &[Version, Entry] : *Versions)
    if (!Entry.Key_.empty() &&
        Now - *Entry.FirstRecordedAt_ >= Settings_.SettleTime_)
      return Version;
  return std::nullopt;
}

bool ServiceVersions::mayBegin(const VersionName &Name, SteadyTime Now) const {
  const State *Version = findState(Name);
  if (!Version || !ResumableServices_.contains(Name.Service_) ||
      versionsInWindow(Name.Service_, Now).size() <= 1)
    return true;
  const States *Versions = findService(Name.Service_);
  // Without any record, no version is taken for the only one.
  bool HasRecords =
      std::any_of(Versions->begin(), Versions->end(), [](const auto &Entry) {
        return Entry.second.FirstRecordedAt_.has_value();
      });
  if (!HasRecords)
    return true;
  if (!Version->FirstRecordedAt_)
    return Now - Version->FirstRegisteredAt_ >= Settings_.RecordTimeLimit_;
  if (Now - *Version->FirstRecordedAt_ >= Settings_.SettleTime_)
    return true;
  return std::none_of(
      Versions->begin(), Versions->end(), [&](const auto &Entry) {
        return Entry.second.ReadyTargets_ > 0 &&
               Entry.second.FirstRecordedAt_ &&
               *Version->FirstRecordedAt_ - *Entry.second.FirstRecordedAt_ >=
                   Settings_.SettleTime_;
      });
}

bool ServiceVersions::isRegistered(const VersionName &Name) const {
  const State *Version = findState(Name);
  return Version && Version->Targets_ > 0;
}

std::optional<SteadyTime>
ServiceVersions::recordedAt(const VersionName &Name) const {
  const State *Version = findState(Name);
  if (!Version || Version->Key_.empty())
    return std::nullopt;
  return Version->RecordedAt_;
}

std::vector<VersionName> ServiceVersions::registered() const {
  std::vector<VersionName> Names;
  for (const auto &[Service, Versions] : Services_)
    for (const auto &[Version, Entry] : Versions)
      if (Entry.Targets_ > 0 && ResumableServices_.contains(Service))
        Names.push_back({Service, Version});
  return Names;
}

} // namespace amaranth::coordination
