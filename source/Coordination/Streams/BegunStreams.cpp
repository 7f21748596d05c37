#include "Coordination/Streams/BegunStreams.h"

#include "Support/Digest.h"

#include <algorithm>
#include <limits>

namespace amaranth::coordination {

std::uint64_t streamHash(const std::string &Service,
                         const std::string &RequestId) {
  return sha256Prefix(Service + '\n' + RequestId);
}

BegunStreams::BegunStreams(BegunStreamsSettings Settings)
    : Settings_(Settings) {}

void BegunStreams::add(std::uint64_t Id, const VersionName &Name,
                       SteadyTime Now) {
  forgetOld(Now);
  auto Known = Streams_.find(Id);
  if (Known != Streams_.end()) {
    Known->second.AddedAt_ = Now;
  } else {
    auto Version = std::find(Versions_.begin(), Versions_.end(), Name);
    if (Version == Versions_.end())
      Version = Versions_.insert(Version, Name);
    auto Index = static_cast<std::size_t>(Version - Versions_.begin());
    Streams_[Id] = {Index, Now};
  }
  Additions_.push_back({Id, Now});
  while (Additions_.size() > Settings_.MaxStreams_)
    dropOldest();
}

bool BegunStreams::isCurrent(const Addition &Added) const {
  auto Found = Streams_.find(Added.Stream_);
  return Found != Streams_.end() && Found->second.AddedAt_ == Added.At_;
}

void BegunStreams::dropOldest() {
  if (isCurrent(Additions_.front()))
    Streams_.erase(Additions_.front().Stream_);
  Additions_.pop_front();
  if (Additions_.empty())
    Versions_.clear();
}

std::optional<std::string> BegunStreams::find(std::uint64_t Id,
                                              SteadyTime Now) const {
  auto Found = Streams_.find(Id);
  if (Found == Streams_.end() ||
      Now - Found->second.AddedAt_ > Settings_.Window_)
    return std::nullopt;
  return Versions_[Found->second.Version_].Version_;
}

void BegunStreams::forgetOld(SteadyTime Now) {
  while (!Additions_.empty() &&
         Now - Additions_.front().At_ > Settings_.Window_)
    dropOldest();
}

protocol::StreamVersions BegunStreams::record(
    const std::function<bool(const std::string &Service)> &IsIncluded,
    std::size_t MaxStreams, SteadyTime Now) const {
  constexpr std::size_t None = std::numeric_limits<std::size_t>::max();
  std::vector<char> Included;
  for (const VersionName &Name : Versions_)
    Included.push_back(IsIncluded(Name.Service_) ? 1 : 0);
  std::vector<std::size_t> Indexes(Versions_.size(), None);
  protocol::StreamVersions Record;
  for (auto Added = Additions_.rbegin(); Added != Additions_.rend(); ++Added) {
    if (Now - Added->At_ > Settings_.Window_ ||
        Record.Streams_.size() >= MaxStreams)
      break;
    if (!isCurrent(*Added))
      continue;
    std::size_t Version = Streams_.at(Added->Stream_).Version_;
    if (!Included[Version])
      continue;
    if (Indexes[Version] == None) {
      Indexes[Version] = Record.Versions_.size();
      Record.Versions_.push_back(Versions_[Version].Version_);
    }
    Record.Streams_.push_back({Added->Stream_, Indexes[Version]});
  }
  return Record;
}

} // namespace amaranth::coordination
