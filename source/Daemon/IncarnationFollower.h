/// \file
/// Keeps membership and session at the same incarnation.
#ifndef AMARANTH_DAEMON_INCARNATIONFOLLOWER_H
#define AMARANTH_DAEMON_INCARNATIONFOLLOWER_H

#include "Coordination/Membership.h"
#include "Coordination/Session.h"

namespace amaranth::daemon {

/// Announces the incarnation of each session that is opened. Survivors decide
/// by the announced incarnation whether the home of a key has ended, so a host
/// that kept the old one would leave its later keys unanswered after its death.
class IncarnationFollower final : public coordination::SessionListener {
public:
  explicit IncarnationFollower(coordination::Membership &Followed)
      : Membership_(Followed) {}

  void onSessionOpen(std::uint64_t Incarnation) override {
    Membership_.renew(Incarnation);
  }

private:
  coordination::Membership &Membership_;
};

} // namespace amaranth::daemon

#endif
