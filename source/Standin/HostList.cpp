#include "Standin/HostList.h"

namespace amaranth::standin {

using Json = nlohmann::json;

HostList::HostList(Milliseconds Lag) : Lag_(Lag) {}

bool HostList::setHosts(const Json &Body) {
  Json Hosts = Json::array();
  for (const Json &Host : Body.at("hosts")) {
    auto Address = Host.at("address").get<std::string>();
    auto State = Host.at("state").get<std::string>();
    if (State != "live" && State != "leaving")
      return false;
    Hosts.push_back({{"address", Address}, {"state", State}});
  }
  std::lock_guard Lock(Mutex_);
  Pending_.push_back({SteadyClock::now() + Lag_, std::move(Hosts)});
  return true;
}

Json HostList::visibleHosts() {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  while (!Pending_.empty() && Pending_.front().VisibleFrom_ <= Now) {
    VisibleHosts_ = std::move(Pending_.front().Hosts_);
    Pending_.pop_front();
  }
  return {{"hosts", VisibleHosts_}};
}

} // namespace amaranth::standin
