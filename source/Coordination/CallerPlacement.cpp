#include "Coordination/CallerPlacement.h"

#include "Coordination/Engines/EngineChooser.h"
#include "Coordination/HostElection.h"
#include "Support/Log.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace amaranth::coordination {

using protocol::HostState;

namespace {

/// A host's capacity for callers, in cores: the scarcer of its processor and
/// its link. A host that does not know a limit counts as having no such limit
/// if it knows the other.
double capacity(const HostState &State, double MegabitsPerCore) {
  double Link = State.LinkMegabits_ / MegabitsPerCore;
  if (State.ProcessorShare_ <= 0 || Link <= 0)
    return std::max({State.ProcessorShare_, Link, 0.0});
  return std::min(State.ProcessorShare_, Link);
}

} // namespace

CallerPlacement::CallerPlacement(std::string Self,
                                 CallerPlacementSettings Settings)
    : Self_(std::move(Self)), Settings_(Settings) {}

void CallerPlacement::update(States Serving, SteadyTime Now) {
  std::sort(Serving.begin(), Serving.end(),
            [](const HostState *Left, const HostState *Right) {
              return Left->Host_ < Right->Host_;
            });
  if (setHosts(Serving)) {
    selectUsable();
    Deciders_.clear();
    assign();
  }
  updateNeeds(Serving, Now);
}

bool CallerPlacement::setHosts(const States &Serving) {
  std::vector<Host> Hosts;
  Hosts.reserve(Serving.size());
  double Largest = 0;
  for (const HostState *State : Serving) {
    Hosts.push_back({State->Host_, State->DataCentre_, State->CallerAddress_,
                     capacity(*State, Settings_.MegabitsPerCore_)});
    Largest = std::max(Largest, Hosts.back().Capacity_);
  }
  // Without settings to compare them by, hosts count as equally large.
  for (Host &Entry : Hosts)
    if (Entry.Capacity_ <= 0)
      Entry.Capacity_ = Largest > 0 ? Largest : 1;
  if (Hosts == Hosts_)
    return false;
  Hosts_ = std::move(Hosts);
  return true;
}

void CallerPlacement::selectUsable() {
  Usable_.clear();
  for (const Host &Entry : Hosts_)
    Usable_.push_back(&Entry);
  if (Hosts_.size() > Settings_.SmallFleet_) {
    std::stable_sort(Usable_.begin(), Usable_.end(),
                     [](const Host *Left, const Host *Right) {
                       return Left->Capacity_ > Right->Capacity_;
                     });
    std::size_t Taken = 0;
    double TakenSum = 0; // What the hosts taken can serve together.
    for (std::size_t End = 0; End < Usable_.size();) {
      double ClassLimit = Usable_[End]->Capacity_ * Settings_.ClassShare_;
      while (End < Usable_.size() && Usable_[End]->Capacity_ >= ClassLimit)
        ++End;
      double Sum = static_cast<double>(End) * Usable_[End - 1]->Capacity_;
      if (Taken >= Settings_.MinHosts_ &&
          Sum <= TakenSum * Settings_.ClassGain_)
        continue;
      Taken = End;
      TakenSum = Sum;
    }
    Usable_.resize(Taken);
  }
  OwnCounts_.clear();
  for (const Host *Entry : Usable_)
    ++OwnCounts_[Entry->DataCentre_];
}

void CallerPlacement::updateNeeds(const States &Serving, SteadyTime Now) {
  // By data centre and publisher, and the most that others publish.
  std::map<std::pair<std::string, std::string>, std::size_t> ByHost;
  std::map<std::string, std::size_t> Published;
  for (const HostState *State : Serving) {
    if (State->Host_ == Self_)
      continue;
    for (const protocol::CallerNeed &Decision : State->CallerNeeds_) {
      std::size_t Hosts =
          std::min<std::size_t>(Decision.Hosts_, Settings_.MaxAddresses_);
      std::size_t &Most = Published[Decision.DataCentre_];
      Most = std::max(Most, Hosts);
      ByHost[{Decision.DataCentre_, State->Host_}] = Hosts;
    }
  }
  for (const auto &[DataCentre, Hosts] : Published)
    Needs_.try_emplace(DataCentre);
  for (const auto &[DataCentre, Count] : OwnCounts_)
    Needs_.try_emplace(DataCentre);
  bool Serves =
      std::any_of(Serving.begin(), Serving.end(), [&](const HostState *State) {
        return State->Host_ == Self_;
      });
  if (!Serves)
    ServingSince_.reset();
  else if (!ServingSince_)
    ServingSince_ = Now;
  Decisions_.clear();
  for (auto &[DataCentre, Wanted] : Needs_) {
    std::size_t Before = Wanted.Hosts_;
    const std::string &Decider = decider(DataCentre, Serving);
    auto Decided = ByHost.find({DataCentre, Decider});
    if (Decided != ByHost.end()) {
      Wanted = {Decided->second, false, Wanted.AddedAt_, Now, 0};
    } else if (Decider == Self_) {
      // The former decider publishes its number until this host does.
      if (Published[DataCentre] > Wanted.Hosts_)
        Wanted = {Published[DataCentre], false, Wanted.AddedAt_, Now, 0};
      if (Now - *ServingSince_ >= Settings_.JoinDelay_) {
        decideFor(DataCentre, Wanted, Serving, Now);
        Wanted.Publishes_ = true;
      }
    }
    if (Wanted.Publishes_)
      Decisions_.push_back(
          {DataCentre, static_cast<std::uint32_t>(Wanted.Hosts_)});
    if (Wanted.Hosts_ != Before)
      assign();
  }
  for (const auto &[DataCentre, Count] : OwnCounts_)
    answer(DataCentre); // Logs changes also while no caller asks.
}

void CallerPlacement::decideFor(const std::string &DataCentre, Need &Wanted,
                                const States &Serving, SteadyTime Now) {
  const Answer &Current = answer(DataCentre);
  std::vector<double> BusyShares;
  for (const Host *Entry : Current.Hosts_) {
    if (Entry->DataCentre_ != DataCentre)
      continue;
    const HostState *State =
        Serving[static_cast<std::size_t>(Entry - Hosts_.data())];
    BusyShares.push_back(std::clamp(State->BusyShare_, 0.0, 1.0));
  }
  // While a data centre has no hosts, nothing is learned of its callers.
  if (BusyShares.empty()) {
    Wanted.NeededAt_ = Now;
    return;
  }
  std::sort(BusyShares.begin(), BusyShares.end(), std::greater<>());
  BusyShares.resize((BusyShares.size() + 1) / 2);
  double Sum = std::accumulate(BusyShares.begin(), BusyShares.end(), 0.0);
  decide(Wanted, ownCount(DataCentre), Current.Hosts_.size(),
         Sum / static_cast<double>(BusyShares.size()), Now);
}

void CallerPlacement::decide(Need &Wanted, std::size_t Own, std::size_t Named,
                             double BusyShare, SteadyTime Now) const {
  // All named hosts get the same number of callers, so with twice as many hosts
  // each has half of them.
  double Exact =
      static_cast<double>(Named) * BusyShare / Settings_.TargetShare_;
  std::size_t Needed = std::min(static_cast<std::size_t>(std::ceil(Exact)),
                                Settings_.MaxAddresses_);
  Wanted.NeededSince_ = std::max(Wanted.NeededSince_, Needed);
  if (Needed >= Wanted.Hosts_) {
    Wanted.NeededAt_ = Now;
    Wanted.NeededSince_ = 0;
    bool MayAdd = BusyShare > Settings_.HelpAbove_ &&
                  Now - Wanted.AddedAt_ >= Settings_.AddInterval_;
    if (Needed > Own && MayAdd) {
      Wanted.Hosts_ = Needed;
      Wanted.AddedAt_ = Now;
    } else {
      // Known in case that the data centre loses hosts.
      Wanted.Hosts_ = std::max(Wanted.Hosts_, std::min(Needed, Own));
    }
  } else if (Now - Wanted.NeededAt_ >= Settings_.RemoveDelay_) {
    Wanted.Hosts_ = Wanted.NeededSince_;
    Wanted.NeededAt_ = Now;
    Wanted.NeededSince_ = 0;
  }
}

const std::string &CallerPlacement::decider(const std::string &DataCentre,
                                            const States &Serving) {
  auto [Entry, Added] = Deciders_.try_emplace(DataCentre);
  if (Added) {
    std::vector<ElectionCandidate> Candidates;
    for (const HostState *State : Serving)
      Candidates.push_back({State->Host_, State->LinkMegabits_});
    Entry->second = electHost("callers/" + DataCentre, Candidates);
  }
  return Entry->second;
}

std::size_t CallerPlacement::ownCount(const std::string &DataCentre) const {
  auto Found = OwnCounts_.find(DataCentre);
  return Found == OwnCounts_.end() ? 0 : Found->second;
}

std::size_t CallerPlacement::wantedCount(const std::string &DataCentre) const {
  auto Found = Needs_.find(DataCentre);
  return Found == Needs_.end() ? 0 : Found->second.Hosts_;
}

const std::vector<std::string> &
CallerPlacement::addresses(const std::string &DataCentre) {
  return answer(DataCentre).Addresses_;
}

const CallerPlacement::Answer &
CallerPlacement::answer(const std::string &DataCentre) {
  std::string Known = ownCount(DataCentre) > 0 ? DataCentre : "";
  Answer &Entry = Answers_[Known];
  if (Entry.Current_)
    return Entry;
  Entry.Current_ = true;
  Entry.Hosts_ = choose(Known);
  std::vector<std::string> Addresses;
  Addresses.reserve(Entry.Hosts_.size());
  for (const Host *Named : Entry.Hosts_)
    Addresses.push_back(Named->Address_);
  if (Addresses != Entry.Addresses_)
    LogEvent(LogLevel::Info, "caller_hosts_changed")
        .field("data_centre", Known)
        .field("hosts", Addresses.size())
        .field("own", ownCount(Known))
        .field("wanted", wantedCount(Known));
  Entry.Addresses_ = std::move(Addresses);
  return Entry;
}

void CallerPlacement::assign() {
  for (auto &[DataCentre, Entry] : Answers_)
    Entry.Current_ = false;
  Lent_.clear();
  Borrowed_.clear();
  if (Hosts_.size() <= Settings_.SmallFleet_)
    return;
  // If all together need more hosts than there are, each gets its part.
  double NeedSum = 0;
  for (const auto &[DataCentre, Own] : OwnCounts_)
    NeedSum += static_cast<double>(wantedCount(DataCentre));
  auto Total = static_cast<double>(Usable_.size());
  double Scale = NeedSum > Total ? Total / NeedSum : 1;
  std::map<std::string, std::size_t> Spare;
  for (const auto &[DataCentre, Own] : OwnCounts_) {
    double Kept =
        std::ceil(static_cast<double>(wantedCount(DataCentre)) * Scale);
    std::size_t Keep =
        std::max(static_cast<std::size_t>(Kept), Settings_.MinHosts_);
    Spare[DataCentre] = Own - std::min(Own, Keep);
  }
  for (const auto &[DataCentre, Own] : OwnCounts_) {
    auto Needed = static_cast<std::size_t>(
        static_cast<double>(wantedCount(DataCentre)) * Scale);
    if (Needed <= Own)
      continue;
    std::vector<const Host *> Lenders;
    for (const Host *Entry : Usable_)
      if (Entry->DataCentre_ != DataCentre && !Lent_.contains(Entry))
        Lenders.push_back(Entry);
    rank(Lenders, DataCentre);
    std::vector<const Host *> &Borrowed = Borrowed_[DataCentre];
    for (const Host *Entry : Lenders) {
      std::size_t &Left = Spare[Entry->DataCentre_];
      if (Own + Borrowed.size() == Needed)
        break;
      if (Left == 0)
        continue;
      --Left;
      Lent_.insert(Entry);
      Borrowed.push_back(Entry);
    }
  }
}

std::vector<const CallerPlacement::Host *>
CallerPlacement::choose(const std::string &DataCentre) const {
  std::vector<const Host *> Named;
  std::vector<const Host *> Others;
  bool NamesAll = DataCentre.empty() || Hosts_.size() <= Settings_.SmallFleet_;
  for (const Host *Entry : Usable_)
    if (NamesAll ||
        (Entry->DataCentre_ == DataCentre && !Lent_.contains(Entry)))
      Named.push_back(Entry);
    else if (Entry->DataCentre_ != DataCentre)
      Others.push_back(Entry);
  rank(Named, DataCentre);
  if (auto Found = Borrowed_.find(DataCentre); Found != Borrowed_.end())
    Named.insert(Named.end(), Found->second.begin(), Found->second.end());
  if (Named.size() > Settings_.MaxAddresses_)
    Named.resize(Settings_.MaxAddresses_);
  // A data centre with one or two hosts shares others with their own callers.
  if (Named.size() < Settings_.MinHosts_) {
    rank(Others, DataCentre);
    for (const Host *Entry : Others)
      if (Named.size() < Settings_.MinHosts_ &&
          std::find(Named.begin(), Named.end(), Entry) == Named.end())
        Named.push_back(Entry);
  }
  return Named;
}

void CallerPlacement::rank(std::vector<const Host *> &Hosts,
                           const std::string &DataCentre) {
  // Weighted rendezvous hashing: when a host comes or goes, the order of the
  // others does not change.
  std::vector<std::pair<double, const Host *>> Ranked;
  for (const Host *Entry : Hosts) {
    double Uniform = std::ldexp(
        static_cast<double>(rendezvousRank(DataCentre, Entry->Name_)) + 1, -64);
    Ranked.emplace_back(-std::log(Uniform) / Entry->Capacity_, Entry);
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              if (Left.first != Right.first)
                return Left.first < Right.first;
              return Left.second->Name_ < Right.second->Name_;
            });
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Hosts[I] = Ranked[I].second;
}

} // namespace amaranth::coordination
