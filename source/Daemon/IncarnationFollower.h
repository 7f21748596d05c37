/// \file
/// Keeps the incarnation in the membership equal to that of the session.
#ifndef AMARANTH_DAEMON_INCARNATIONFOLLOWER_H
#define AMARANTH_DAEMON_INCARNATIONFOLLOWER_H

#include "Coordination/Membership.h"
#include "Coordination/Session.h"

namespace amaranth::daemon {

/// Announces the incarnation of each session that is opened. An incarnation is
/// one life of a daemon under its host name; the incarnation named by a key is
/// the key's home, which alone may run the key's request. After a host has
/// died, its peers compare the announced incarnation with that of a key to
/// decide whether the key's home has ended. If a host still announced a former
/// incarnation, its later keys would never be answered after its death.
class IncarnationFollower final : public coordination::SessionListener {
public:
  explicit IncarnationFollower(coordination::Membership &Members)
      : Membership_(Members) {}

  void onSessionOpen(std::uint64_t Incarnation) override {
    Membership_.adoptIncarnation(Incarnation);
  }

private:
  coordination::Membership &Membership_;
};

} // namespace amaranth::daemon

#endif
