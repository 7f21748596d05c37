#include "Integration/OrderFixture.h"

#include "Integration/Eventually.h"
#include "Support/Digest.h"

#include <stdexcept>

namespace amaranth::integration {

OrderFixture::OrderFixture(const OrderFixtureSettings &Settings)
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

std::string OrderFixture::host(std::size_t Index) {
  std::lock_guard Lock(Mutex_);
  return Hosts_.at(Index);
}

void OrderFixture::restart(std::size_t Host) {
  std::vector<std::size_t> AllIndices;
  for (std::size_t I = 0; I < Fleet_.size(); ++I)
    AllIndices.push_back(I);
  Fleet_.restart(Host, AllIndices);
  std::lock_guard Lock(Mutex_);
  Hosts_.at(Host) = Fleet_.daemon(Host).callerAddress();
}

std::optional<Order> OrderFixture::tryMakeTicketedOrder(std::size_t Host) {
  OrderTicket Ticket = Caller_.requestTicket(host(Host));
  if (Ticket.Text_.empty())
    return std::nullopt;
  return makeOrder(Ticket.Text_ + ".");
}

Order OrderFixture::makeOrder(const std::string &KeyPrefix) {
  std::lock_guard Lock(Mutex_);
  Order NewOrder;
  NewOrder.Id_ = "order-" + std::to_string(++LastOrderNumber_);
  NewOrder.Key_ = KeyPrefix + NewOrder.Id_;
  Histories_[NewOrder.Id_].Id_ = NewOrder.Id_;
  return NewOrder;
}

Order OrderFixture::makeTicketedOrder(std::size_t HomeIndex) {
  OrderTicket Ticket;
  auto IsIssued = [&] {
    Ticket = Caller_.requestTicket(host(HomeIndex));
    return !Ticket.Text_.empty();
  };
  if (!eventually(IsIssued))
    throw std::runtime_error("no ticket within 30 s from " +
                             Fleet::hostName(HomeIndex));
  if (Ticket.Home_ != host(HomeIndex))
    throw std::runtime_error(
        "the entry host issued a ticket whose home is another host");
  return makeOrder(Ticket.Text_ + ".");
}

Order OrderFixture::makePlainOrder() {
  Order NewOrder = makeOrder("plain-" + randomHex(8) + "-");
  std::lock_guard Lock(Mutex_);
  Histories_[NewOrder.Id_].HasTicket_ = false;
  return NewOrder;
}

void OrderFixture::record(const Order &Placed, const OrderAnswer &Answer) {
  std::lock_guard Lock(Mutex_);
  Histories_[Placed.Id_].Answers_.push_back(Answer);
}

OrderAnswer OrderFixture::send(std::size_t Host, const Order &Placed) {
  OrderAnswer Answer = Caller_.place(host(Host), Placed);
  record(Placed, Answer);
  return Answer;
}

std::future<OrderAnswer> OrderFixture::sendAsync(std::size_t Host,
                                                 const Order &Placed) {
  return std::async(std::launch::async, [this, Address = host(Host), Placed] {
    OrderAnswer Answer = Caller_.place(Address, Placed);
    record(Placed, Answer);
    return Answer;
  });
}

OrderAnswer OrderFixture::resend(std::size_t Host, const Order &Placed) {
  OrderAnswer LastAnswer;
  eventually([&] {
    LastAnswer = send(Host, Placed);
    return LastAnswer.isFinal();
  });
  return LastAnswer;
}

void OrderFixture::setServiceSwitches(const nlohmann::json &Switches) {
  for (std::size_t I = 0; I < Instances_; ++I)
    Services_.setSwitches(Switches, I);
}

int OrderFixture::executionCount(const Order &Placed) {
  return ExecutionRecord(Services_, Instances_).count(Placed.Id_);
}

int OrderFixture::pendingCalls() {
  int Pending = 0;
  for (std::size_t I = 0; I < Instances_; ++I)
    Pending += Services_.get("/v1/load", I).value("queued_tokens", 0);
  return Pending;
}

bool OrderFixture::waitInFlight(std::size_t Host, int Count) {
  return eventually([&] {
    return Fleet_.operatorStatus(Host).value("in_flight", -1) == Count;
  });
}

bool OrderFixture::waitIdle(const std::vector<std::size_t> &Hosts) {
  for (std::size_t Host : Hosts)
    if (!waitInFlight(Host, 0))
      return false;
  return eventually([&] { return pendingCalls() == 0; });
}

OrderCheckResult OrderFixture::checkOrders() {
  return ExecutionRecord(Services_, Instances_).check(histories());
}

std::vector<OrderHistory> OrderFixture::histories() {
  std::lock_guard Lock(Mutex_);
  std::vector<OrderHistory> Result;
  for (const auto &[OrderId, History] : Histories_)
    Result.push_back(History);
  return Result;
}

} // namespace amaranth::integration
