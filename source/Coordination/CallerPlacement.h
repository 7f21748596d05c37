/// \file
/// Choice of the entry hosts that the directory names to callers.
#ifndef AMARANTH_COORDINATION_CALLERPLACEMENT_H
#define AMARANTH_COORDINATION_CALLERPLACEMENT_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of CallerPlacement.
struct CallerPlacementSettings {
  /// Callers use at most this many addresses of an answer.
  std::size_t MaxAddresses_ = 64;
  /// Minimum number of hosts in an answer, if as many serve.
  std::size_t MinHosts_ = 3;
  /// In a fleet of at most this many hosts, all are named to all callers.
  std::size_t SmallFleet_ = 8;
  /// Hosts are added for the callers of a data centre when the busier half of
  /// its hosts uses more than this share of their processors: the smaller ones
  /// are full first. The rest is for the time until callers use the added ones.
  double HelpAbove_ = 0.7;
  /// Number of hosts to add: as many as bring the busy share down to this.
  double TargetShare_ = 0.55;
  /// Time between two additions. Callers cache an answer for 2 s, and the busy
  /// share is measured over the last second.
  Milliseconds AddInterval_{3000};
  /// Added hosts are removed when fewer were needed for this long: two periods
  /// of load that varies as a wave of 15 s, so that they stay between crests.
  Milliseconds RemoveDelay_{30000};
  /// A host that has begun to serve decides nothing for this long, because it
  /// does not know yet what its peers have decided.
  Milliseconds JoinDelay_{1000};
  /// Link bandwidth that goes with one core. The narrowest links of the known
  /// fleets have 80 to 110 Mbit/s for each core beside them.
  double MegabitsPerCore_ = 100;
  /// A host belongs to the class of a larger one if its capacity is at least
  /// this share of it.
  double ClassShare_ = 1.0 / 3;
  /// Smaller hosts get callers only if the hosts together can then serve this
  /// many times as much.
  double ClassGain_ = 1.5;
};

/// Chooses the addresses for directory answers.
///
/// A caller opens each connection to a random address of its answer, so all
/// named hosts get the same number of callers, and the smallest is full first.
/// N hosts can therefore serve N times what the smallest of them can, and small
/// hosts are named only if that raises the sum by far.
///
/// The callers of a data centre get its hosts. If these are too busy, spare
/// hosts of other data centres are assigned to them as well, and are no longer
/// named to the callers of their own: a host named to both would get as many
/// callers of each as the hosts named to one. How many hosts the callers of a
/// data centre need is decided by one elected host, which publishes the number
/// in its state: it depends on the past, and hosts that decided it on their own
/// would give different answers. Its successor continues with the number that
/// it knows. Everything else is a function of the hosts' states, so that hosts
/// with the same states agree.
class CallerPlacement final {
public:
  /// \p Self is the name of this host.
  explicit CallerPlacement(std::string Self,
                           CallerPlacementSettings Settings = {});
  // The lists of usable and named hosts point into Hosts_.
  CallerPlacement(const CallerPlacement &) = delete;
  CallerPlacement &operator=(const CallerPlacement &) = delete;
  CallerPlacement(CallerPlacement &&) = default;
  CallerPlacement &operator=(CallerPlacement &&) = default;

  /// Takes over the states of the hosts that serve callers now, including this
  /// host's if it does.
  void update(std::vector<const protocol::HostState *> Serving, SteadyTime Now);
  /// Addresses for callers of \p DataCentre. Callers of an unknown one, or of
  /// one without usable hosts, get hosts of all data centres. Empty if no host
  /// serves.
  const std::vector<std::string> &addresses(const std::string &DataCentre);
  /// The numbers that this host decides, for its state.
  const std::vector<protocol::CallerNeed> &decisions() const {
    return Decisions_;
  }

private:
  struct Host {
    std::string Name_;
    std::string DataCentre_;
    std::string Address_;
    double Capacity_ = 0; ///< In cores.
    bool operator==(const Host &) const = default;
  };
  /// What is known of the callers of a data centre.
  struct Need {
    std::size_t Hosts_ = 0;  ///< Hosts that they need, of any data centre.
    bool Publishes_ = false; ///< This host was the last to decide.
    SteadyTime AddedAt_{};
    /// The last time at which all hosts were needed, and the most that were
    /// needed since.
    SteadyTime NeededAt_{};
    std::size_t NeededSince_ = 0;
  };

  /// The hosts named to the callers of a data centre.
  struct Answer {
    bool Current_ = false; ///< Computed since the last change.
    std::vector<const Host *> Hosts_;
    std::vector<std::string> Addresses_;
  };
  using States = std::vector<const protocol::HostState *>;

  /// Takes over the hosts, sorted by name. Returns whether they have changed.
  bool setHosts(const States &Serving);
  /// Chooses the hosts that are large enough for callers.
  void selectUsable();
  void updateNeeds(const States &Serving, SteadyTime Now);
  /// Adapts the number for a data centre to the load of its hosts.
  void decideFor(const std::string &DataCentre, Need &Wanted,
                 const States &Serving, SteadyTime Now);
  /// Adapts a number that this host decides. \p BusyShare is that of the
  /// data centre's \p Own hosts, out of \p Named ones.
  void decide(Need &Wanted, std::size_t Own, std::size_t Named,
              double BusyShare, SteadyTime Now) const;
  std::size_t ownCount(const std::string &DataCentre) const;
  std::size_t wantedCount(const std::string &DataCentre) const;
  /// The host that decides how many hosts the callers of a data centre need.
  const std::string &decider(const std::string &DataCentre,
                             const States &Serving);
  const Answer &answer(const std::string &DataCentre);
  std::vector<const Host *> choose(const std::string &DataCentre) const;
  /// Assigns spare hosts to the data centres that need more than they have, and
  /// has all answers computed anew.
  void assign();
  /// Orders \p Hosts for the callers of \p DataCentre, each to rank first with
  /// a probability in proportion to its capacity.
  static void rank(std::vector<const Host *> &Hosts,
                   const std::string &DataCentre);

  std::string Self_;
  std::optional<SteadyTime> ServingSince_; ///< This host, if it serves.
  CallerPlacementSettings Settings_;
  std::vector<Host> Hosts_;                      ///< By name.
  std::vector<const Host *> Usable_;             ///< Large enough for callers.
  std::map<std::string, std::size_t> OwnCounts_; ///< Usable, by data centre.
  /// Hosts assigned to the callers of another data centre, and by that one.
  std::set<const Host *> Lent_;
  std::map<std::string, std::vector<const Host *>> Borrowed_;
  std::map<std::string, std::string> Deciders_; ///< By data centre.
  std::map<std::string, Need> Needs_;           ///< By data centre.
  std::vector<protocol::CallerNeed> Decisions_;
  /// By data centre. Unknown ones share one, because callers choose the text.
  std::map<std::string, Answer> Answers_;
};

} // namespace amaranth::coordination

#endif
