#include "Standin/FaultSwitches.h"

namespace amaranth::standin {

namespace {

using Json = nlohmann::json;

bool hasTypeOf(const Json &Value, const std::atomic<bool> *) {
  return Value.is_boolean();
}
bool hasTypeOf(const Json &Value, const std::atomic<double> *) {
  return Value.is_number();
}
bool hasTypeOf(const Json &Value, const std::atomic<std::int64_t> *) {
  return Value.is_number_integer();
}

} // namespace

bool consumeOne(CallCount &Count) {
  std::int64_t Remaining = Count.load();
  while (Remaining > 0)
    if (Count.compare_exchange_weak(Remaining, Remaining - 1))
      return true;
  return Remaining < 0;
}

void FaultSwitches::add(std::string Name, std::atomic<bool> &Value) {
  Switches_[std::move(Name)] = &Value;
}

void FaultSwitches::add(std::string Name, std::atomic<double> &Value) {
  Switches_[std::move(Name)] = &Value;
}

void FaultSwitches::add(std::string Name, std::atomic<std::int64_t> &Value) {
  Switches_[std::move(Name)] = &Value;
}

Json FaultSwitches::snapshot() const {
  Json Values = Json::object();
  for (const auto &Entry : Switches_)
    std::visit(
        [&](const auto *Variable) { Values[Entry.first] = Variable->load(); },
        Entry.second);
  return Values;
}

std::optional<std::string> FaultSwitches::apply(const Json &Change) {
  if (!Change.is_object())
    return "expected an object of switches";
  for (const auto &[Name, Value] : Change.items()) {
    auto Found = Switches_.find(Name);
    if (Found == Switches_.end())
      return "unknown switch: " + Name;
    const Json &NewValue = Value;
    if (!std::visit(
            [&](const auto *Variable) { return hasTypeOf(NewValue, Variable); },
            Found->second))
      return "wrong type for switch: " + Name;
  }
  for (const auto &[Name, Value] : Change.items()) {
    const Json &NewValue = Value;
    std::visit([&](auto *Variable) { Variable->store(NewValue); },
               Switches_.at(Name));
  }
  return std::nullopt;
}

} // namespace amaranth::standin
