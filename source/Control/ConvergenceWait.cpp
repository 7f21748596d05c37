#include "Control/ConvergenceWait.h"

#include <algorithm>
#include <thread>

namespace amaranth::control {

namespace {

constexpr Milliseconds PollInterval{100};

bool mustConverge(const MemberStatus &Member) {
  return Member.Status_ == "alive" || Member.Status_ == "draining";
}

bool hasRevision(const std::vector<ServiceStatus> &Services,
                 const std::string &Name, std::uint64_t Revision) {
  return std::any_of(
      Services.begin(), Services.end(), [&](const ServiceStatus &Service) {
        return Service.Name_ == Name && Service.Revision_ >= Revision;
      });
}

} // namespace

ConvergenceWait::ConvergenceWait(AdminClient &Client, std::ostream &Messages)
    : Client_(Client), Messages_(Messages) {}

Result<void>
ConvergenceWait::wait(const std::map<std::string, std::uint64_t> &Revisions) {
  SteadyTime Deadline = Client_.settings().Deadline_;
  while (true) {
    pollHosts(Revisions);
    showProgress();
    if (HostCount_ > 0 && MissingHosts_.empty())
      return {};
    if (remaining(Deadline).count() == 0)
      return fail(ErrorCode::DeadlineExceeded,
                  "the change is stored, but not yet in force on: " +
                      MissingHosts_);
    std::this_thread::sleep_for(std::min(PollInterval, remaining(Deadline)));
  }
}

void ConvergenceWait::pollHosts(
    const std::map<std::string, std::uint64_t> &Revisions) {
  Expected<HostStatus> Status = capture([&]() -> Result<HostStatus> {
    BOOST_LEAF_AUTO(Body, Client_.get("/v1/admin/status"));
    return parseHostStatus(Body);
  });
  // While the members cannot be read, the missing hosts of the last poll
  // remain.
  if (!Status) {
    if (MissingHosts_.empty())
      MissingHosts_ = "unknown hosts (" + Status.error().Message_ + ")";
    return;
  }
  HostCount_ = 0;
  MissingHosts_.clear();
  for (const MemberStatus &Member : Status->Members_) {
    if (!mustConverge(Member))
      continue;
    ++HostCount_;
    if (!hasRevisions(Member, Revisions))
      MissingHosts_ += (MissingHosts_.empty() ? "" : ", ") + Member.Host_;
  }
  if (HostCount_ == 0)
    MissingHosts_ = "unknown hosts (the daemon lists no alive host)";
}

bool ConvergenceWait::hasRevisions(
    const MemberStatus &Member,
    const std::map<std::string, std::uint64_t> &Revisions) {
  std::string Identity = Member.Host_ + "/" + Member.Incarnation_;
  if (Confirmed_.contains(Identity))
    return true;
  Expected<std::vector<ServiceStatus>> Services =
      capture([&]() -> Result<std::vector<ServiceStatus>> {
        BOOST_LEAF_AUTO(
            Body, Client_.getFrom(Member.CallerAddress_, "/v1/admin/services"));
        return parseServices(Body);
      });
  if (!Services)
    return false;
  for (const auto &[Name, Revision] : Revisions)
    if (!hasRevision(*Services, Name, Revision))
      return false;
  Confirmed_.insert(std::move(Identity));
  return true;
}

void ConvergenceWait::showProgress() {
  std::string Progress =
      "in force on all " + std::to_string(HostCount_) + " hosts";
  if (!MissingHosts_.empty())
    Progress = "waiting for: " + MissingHosts_;
  if (Progress == LastProgress_)
    return;
  Messages_ << Progress << std::endl;
  LastProgress_ = Progress;
}

} // namespace amaranth::control
