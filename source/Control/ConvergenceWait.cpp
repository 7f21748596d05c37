#include "Control/ConvergenceWait.h"

#include <algorithm>
#include <thread>

namespace amaranth::control {

namespace {

constexpr Milliseconds PollPause{100};

bool mustConverge(const MemberStatus &Member) {
  return Member.Status_ == "alive" || Member.Status_ == "draining";
}

bool shows(const std::vector<ServiceStatus> &Services, const std::string &Name,
           std::uint64_t Revision) {
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
    askOnce(Revisions);
    showProgress();
    if (Members_ > 0 && Missing_.empty())
      return {};
    if (remaining(Deadline).count() == 0)
      return fail(ErrorCode::DeadlineExceeded,
                  "the change is stored, but not yet in force on: " + Missing_);
    std::this_thread::sleep_for(std::min(PollPause, remaining(Deadline)));
  }
}

void ConvergenceWait::askOnce(
    const std::map<std::string, std::uint64_t> &Revisions) {
  Expected<HostStatus> Status = capture([&]() -> Result<HostStatus> {
    BOOST_LEAF_AUTO(Body, Client_.get("/v1/admin/status"));
    return parseHostStatus(Body);
  });
  // The hosts missing so far stay on record while the members are not known.
  if (!Status) {
    if (Missing_.empty())
      Missing_ = "unknown hosts (" + Status.error().Message_ + ")";
    return;
  }
  Members_ = 0;
  Missing_.clear();
  for (const MemberStatus &Member : Status->Members_) {
    if (!mustConverge(Member))
      continue;
    ++Members_;
    if (!hasAll(Member, Revisions))
      Missing_ += (Missing_.empty() ? "" : ", ") + Member.Host_;
  }
  if (Members_ == 0)
    Missing_ = "unknown hosts (the daemon lists no alive host)";
}

bool ConvergenceWait::hasAll(
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
    if (!shows(*Services, Name, Revision))
      return false;
  Confirmed_.insert(std::move(Identity));
  return true;
}

void ConvergenceWait::showProgress() {
  std::string Progress =
      "in force on all " + std::to_string(Members_) + " hosts";
  if (!Missing_.empty())
    Progress = "waiting for: " + Missing_;
  if (Progress == LastProgress_)
    return;
  Messages_ << Progress << std::endl;
  LastProgress_ = Progress;
}

} // namespace amaranth::control
