#include "Integration/StandinProcess.h"

#include <stdexcept>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

constexpr Seconds StartTimeout{20};
constexpr Seconds CallTimeout{30};

ChildProcessSettings processSettings(const std::string &Subcommand,
                                     std::vector<std::string> Arguments,
                                     int Instances) {
  ChildProcessSettings Settings;
  Settings.Program_ = AMARANTH_BINARY_DIR "/amaranth-standin";
  Settings.Arguments_ = std::move(Arguments);
  Settings.Arguments_.insert(Settings.Arguments_.begin(), Subcommand);
  Settings.Arguments_.push_back("--end-with-stdin");
  if (Instances > 1)
    Settings.Arguments_.push_back("--count=" + std::to_string(Instances));
  return Settings;
}

} // namespace

transport::HttpOutcome callJson(const std::string &Address,
                                const std::string &Method,
                                const std::string &Path, const Json &Body) {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = Method;
  Call.Path_ = Path;
  if (!Body.is_null())
    Call.Body_ = Body.dump();
  Call.Deadline_ = SteadyClock::now() + CallTimeout;
  Call.ProgressTimeout_ = CallTimeout;
  return Client.call(Call);
}

StandinProcess::StandinProcess(const std::string &Subcommand,
                               std::vector<std::string> Arguments,
                               int Instances)
    : Process_(processSettings(Subcommand, std::move(Arguments), Instances)) {
  for (int I = 0; I < Instances; ++I)
    Addresses_.push_back(readAddress(Subcommand));
  if (Subcommand == "proxy")
    ControlAddress_ = readAddress("proxy-control");
}

std::string StandinProcess::readAddress(const std::string &Name) {
  std::string Prefix = "listening " + Name + " ";
  auto Line = Process_.readLine(StartTimeout);
  if (!Line || Line->compare(0, Prefix.size(), Prefix) != 0)
    throw std::runtime_error(
        "amaranth-standin did not print within 20 s the address of " + Name);
  return Line->substr(Prefix.size());
}

const std::string &StandinProcess::address(std::size_t Index) const {
  return Addresses_.at(Index);
}

const std::string &StandinProcess::controlAddress() const {
  return ControlAddress_.empty() ? Addresses_.front() : ControlAddress_;
}

Json StandinProcess::get(const std::string &Path, std::size_t Index) {
  return callControl("GET", Path, nullptr, Index);
}

Json StandinProcess::put(const std::string &Path, const Json &Body,
                         std::size_t Index) {
  return callControl("PUT", Path, Body, Index);
}

Json StandinProcess::post(const std::string &Path, const Json &Body,
                          std::size_t Index) {
  return callControl("POST", Path, Body, Index);
}

void StandinProcess::setSwitches(const Json &Switches, std::size_t Index) {
  put("/standin/switches", Switches, Index);
}

Json StandinProcess::callControl(const std::string &Method,
                                 const std::string &Path, const Json &Body,
                                 std::size_t Index) {
  const std::string &Address =
      ControlAddress_.empty() ? address(Index) : ControlAddress_;
  auto Outcome = callJson(Address, Method, Path, Body);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    throw std::runtime_error(Method + " " + Path +
                             " did not answer 200: " + Outcome.Reply_.Body_);
  return Json::parse(Outcome.Reply_.Body_);
}

} // namespace amaranth::integration
