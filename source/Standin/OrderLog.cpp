#include "Standin/OrderLog.h"

#include "Support/Time.h"

namespace amaranth::standin {

using Json = nlohmann::json;

OrderLog::OrderLog(bool ChecksFencing, std::string Model, std::string Role)
    : ChecksFencing_(ChecksFencing), Model_(std::move(Model)),
      Role_(std::move(Role)) {}

bool OrderLog::apply(const Json &Order) {
  std::lock_guard Lock(Mutex_);
  auto Fencing = Order.at("fencing").get<std::int64_t>();
  std::string Model = Order.value("model", Model_);
  std::string Role = Order.value("role", Role_);
  bool Accepted = !ChecksFencing_ || Fencing >= FencingNumber_;
  ReceivedOrders_.push_back({{"fencing", Fencing},
                             {"model", Model},
                             {"role", Role},
                             {"accepted", Accepted},
                             {"time_ms", unixTimeNow().count()}});
  if (!Accepted)
    return false;
  FencingNumber_ = Fencing;
  Model_ = std::move(Model);
  Role_ = std::move(Role);
  return true;
}

Json OrderLog::state() const {
  std::lock_guard Lock(Mutex_);
  return {{"model", Model_}, {"role", Role_}, {"fencing", FencingNumber_}};
}

Json OrderLog::allOrders() const {
  std::lock_guard Lock(Mutex_);
  return ReceivedOrders_;
}

} // namespace amaranth::standin
