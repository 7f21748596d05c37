/// \file
/// Pacing of new and recovered targets, together with the other hosts.
#ifndef AMARANTH_SERVING_PACEEXCHANGE_H
#define AMARANTH_SERVING_PACEEXCHANGE_H

#include "Coordination/Targets/PacedTargets.h"
#include "Coordination/Targets/TargetPacer.h"
#include "Protocol/FleetMessages.h"
#include "Serving/PeerMesh.h"
#include "Serving/StageClient.h"

#include <optional>
#include <string>

namespace amaranth::serving {

/// Settings of PaceExchange.
struct PaceExchangeSettings {
  /// A place that is used this much too late, because a host was stalled, does
  /// not count: places given meanwhile would be used in the same second.
  Milliseconds MaxPlaceAge_{300};
};

/// Connects this host's view of the paced targets with the host that is elected
/// for each of them, which may be this one.
class PaceExchange final {
public:
  PaceExchange(PeerMesh &Peers, DispatcherRouter &Router, std::string Host,
               PaceExchangeSettings Settings = {});

  coordination::PacedTargets &targets() { return Paced_; }
  const coordination::PacedTargets &targets() const { return Paced_; }

  /// What the elected host must know to give a place.
  static protocol::PaceState toMessage(const coordination::PaceRequest &Request,
                                       SteadyTime Now);
  /// Gives a place at a target for which this host is elected.
  coordination::PacePlace reserve(const protocol::PermitRequest &Request);
  /// Takes the elected host's reply, or this host's share if there is none.
  /// Returns the place to use.
  protocol::PermitReply onReply(const coordination::PaceRequest &Request,
                                const protocol::PermitReply &Reply,
                                Milliseconds MaxDelay);
  /// Whether a place for \p PlaceAt may be used now: it is recent, and the
  /// target has not begun to be paced after the request for it.
  bool isValid(const std::string &Target,
               const std::optional<coordination::PaceRequest> &Request,
               SteadyTime PlaceAt) const;
  /// Reports how a target responded after \p Time to a request of \p Cost.
  void onResponse(const state::TargetRecord &Target,
                  coordination::TargetResult Result, Milliseconds Time,
                  double Cost);
  /// For a stage target, which gets its requests only from the
  /// dispatcher of its service: there is no other host to ask. reserveOwn()
  /// takes a place if there is one now.
  SteadyClock::duration timeToOwnPlace(const std::string &Target,
                                       SteadyTime Now);
  void reserveOwn(const std::string &Target, SteadyTime Now);
  void onOwnResponse(const state::TargetRecord &Target,
                     coordination::TargetResult Result, Milliseconds Time,
                     SteadyTime Now);
  void onReport(const protocol::PaceReport &Report);
  /// Call often. \p IsServing is whether this host may be elected.
  void update(bool IsServing, SteadyTime Now);

private:
  PeerMesh &Peers_;
  DispatcherRouter &Router_;
  PaceExchangeSettings Settings_;
  coordination::PacedTargets Paced_;
  coordination::TargetPacer Pacer_; ///< Of the targets of this host.
  std::size_t ServingHosts_ = 0;    ///< Digest of the hosts that serve.
};

} // namespace amaranth::serving

#endif
