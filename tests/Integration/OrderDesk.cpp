#include "Integration/OrderDesk.h"

#include "Integration/Eventually.h"
#include "Support/Digest.h"

#include <stdexcept>

namespace amaranth::integration {

OrderDesk::OrderDesk(const OrderDeskSettings &Settings)
    : Instances_(static_cast<std::size_t>(Settings.Targets_)),
      Fleet_(Settings.Fleet_),
      Services_("service", {"--service-us=500", "--slots=64"},
                Settings.Targets_) {
  for (std::size_t I = 0; I < Fleet_.size(); ++I)
    Hosts_.push_back(Fleet_.daemon(I).callerAddress());
  PlainServiceSettings Service;
  for (std::size_t I = 0; I < Instances_; ++I)
    Service.Targets_.push_back(Services_.address(I));
  Service.AllowVolatile_ = Settings.AllowVolatile_;
  Service.Idempotent_ = Settings.Idempotent_;
  Fleet_.apply(Service);
}

std::string OrderDesk::host(std::size_t Index) {
  std::lock_guard Lock(Mutex_);
  return Hosts_.at(Index);
}

void OrderDesk::restart(std::size_t Host) {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Fleet_.size(); ++I)
    All.push_back(I);
  Fleet_.restart(Host, All);
  std::lock_guard Lock(Mutex_);
  Hosts_.at(Host) = Fleet_.daemon(Host).callerAddress();
}

std::optional<Order> OrderDesk::tryTicketed(std::size_t Host) {
  OrderTicket Taken = Caller_.takeTicket(host(Host));
  if (Taken.Text_.empty())
    return std::nullopt;
  return makeOrder(Taken.Text_ + ".");
}

Order OrderDesk::makeOrder(const std::string &KeyStart) {
  std::lock_guard Lock(Mutex_);
  Order Made;
  Made.Id_ = "order-" + std::to_string(++Next_);
  Made.Key_ = KeyStart + Made.Id_;
  Histories_[Made.Id_].Id_ = Made.Id_;
  return Made;
}

Order OrderDesk::ticketed(std::size_t Home) {
  OrderTicket Taken;
  auto Issued = [&] {
    Taken = Caller_.takeTicket(host(Home));
    return !Taken.Text_.empty();
  };
  if (!eventually(Issued))
    throw std::runtime_error("no ticket of " + Fleet::hostName(Home));
  if (Taken.Home_ != host(Home))
    throw std::runtime_error("the ticket has another home");
  return makeOrder(Taken.Text_ + ".");
}

Order OrderDesk::plain() {
  Order Made = makeOrder("plain-" + randomHex(8) + "-");
  std::lock_guard Lock(Mutex_);
  Histories_[Made.Id_].Ticketed_ = false;
  return Made;
}

void OrderDesk::record(const Order &Sent, const OrderAnswer &Answer) {
  std::lock_guard Lock(Mutex_);
  Histories_[Sent.Id_].Answers_.push_back(Answer);
}

OrderAnswer OrderDesk::send(std::size_t Host, const Order &Sent) {
  OrderAnswer Answer = Caller_.place(host(Host), Sent);
  record(Sent, Answer);
  return Answer;
}

std::future<OrderAnswer> OrderDesk::sendLater(std::size_t Host,
                                              const Order &Sent) {
  return std::async(std::launch::async, [this, Address = host(Host), Sent] {
    OrderAnswer Answer = Caller_.place(Address, Sent);
    record(Sent, Answer);
    return Answer;
  });
}

OrderAnswer OrderDesk::resend(std::size_t Host, const Order &Sent) {
  OrderAnswer Last;
  eventually([&] {
    Last = send(Host, Sent);
    return Last.isFinal();
  });
  return Last;
}

void OrderDesk::setServices(const nlohmann::json &Switches) {
  for (std::size_t I = 0; I < Instances_; ++I)
    Services_.setSwitches(Switches, I);
}

int OrderDesk::executions(const Order &Sent) {
  return ExecutionRecord(Services_, Instances_).count(Sent.Id_);
}

int OrderDesk::pendingCalls() {
  int Pending = 0;
  for (std::size_t I = 0; I < Instances_; ++I)
    Pending += Services_.get("/v1/load", I).value("queued_tokens", 0);
  return Pending;
}

bool OrderDesk::waitInFlight(std::size_t Host, int Count) {
  return eventually(
      [&] { return Fleet_.status(Host).value("in_flight", -1) == Count; });
}

bool OrderDesk::waitQuiet(const std::vector<std::size_t> &Hosts) {
  for (std::size_t Host : Hosts)
    if (!waitInFlight(Host, 0))
      return false;
  return eventually([&] { return pendingCalls() == 0; });
}

OrderVerdict OrderDesk::verdict() {
  return ExecutionRecord(Services_, Instances_).judge(histories());
}

std::vector<OrderHistory> OrderDesk::histories() {
  std::lock_guard Lock(Mutex_);
  std::vector<OrderHistory> All;
  for (const auto &[OrderId, History] : Histories_)
    All.push_back(History);
  return All;
}

} // namespace amaranth::integration
