#include "Standin/SwitchBoard.h"

namespace amaranth::standin {

namespace {

using Json = nlohmann::json;

bool fits(const Json &Value, const std::atomic<bool> *) {
  return Value.is_boolean();
}
bool fits(const Json &Value, const std::atomic<double> *) {
  return Value.is_number();
}
bool fits(const Json &Value, const std::atomic<std::int64_t> *) {
  return Value.is_number_integer();
}

} // namespace

bool takeOne(CallCount &Count) {
  std::int64_t Left = Count.load();
  while (Left > 0)
    if (Count.compare_exchange_weak(Left, Left - 1))
      return true;
  return Left < 0;
}

void SwitchBoard::add(std::string Name, std::atomic<bool> &Value) {
  Switches_[std::move(Name)] = &Value;
}

void SwitchBoard::add(std::string Name, std::atomic<double> &Value) {
  Switches_[std::move(Name)] = &Value;
}

void SwitchBoard::add(std::string Name, std::atomic<std::int64_t> &Value) {
  Switches_[std::move(Name)] = &Value;
}

Json SwitchBoard::snapshot() const {
  Json Values = Json::object();
  for (const auto &Entry : Switches_)
    std::visit(
        [&](const auto *Target) { Values[Entry.first] = Target->load(); },
        Entry.second);
  return Values;
}

std::optional<std::string> SwitchBoard::apply(const Json &Change) {
  if (!Change.is_object())
    return "expected an object of switches";
  for (const auto &[Name, Value] : Change.items()) {
    auto Known = Switches_.find(Name);
    if (Known == Switches_.end())
      return "unknown switch: " + Name;
    const Json &Wanted = Value;
    if (!std::visit([&](const auto *Target) { return fits(Wanted, Target); },
                    Known->second))
      return "wrong type for switch: " + Name;
  }
  for (const auto &[Name, Value] : Change.items()) {
    const Json &Wanted = Value;
    std::visit([&](auto *Target) { Target->store(Wanted); },
               Switches_.at(Name));
  }
  return std::nullopt;
}

} // namespace amaranth::standin
