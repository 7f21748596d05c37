#include "Integration/DaemonProcess.h"

#include "Integration/FailureArtifacts.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>

#include <unistd.h>

namespace amaranth::integration {

namespace {

constexpr Seconds StartTimeout{30};

std::string temporaryFile(const std::string &Name) {
  auto Folder = std::filesystem::temp_directory_path();
  std::string Path = (Folder / ("amaranth-" + Name + "-XXXXXX")).string();
  int Descriptor = mkstemp(Path.data());
  if (Descriptor < 0)
    throw std::runtime_error("cannot create the temporary file " + Path);
  close(Descriptor);
  return Path;
}

std::string tomlString(const std::string &Text) {
  std::string Literal = "\"";
  for (char Character : Text) {
    if (Character == '"' || Character == '\\')
      Literal += '\\';
    Literal += Character;
  }
  return Literal + "\"";
}

std::string tomlList(const std::vector<std::string> &Texts) {
  std::string List = "[";
  for (const std::string &Text : Texts)
    List += tomlString(Text) + ", ";
  return List + "]";
}

void writeSettings(const std::string &Path,
                   const DaemonProcessSettings &Settings) {
  std::ofstream File(Path);
  File << "host = " << tomlString(Settings.Host_) << '\n'
       << "data_centre = " << tomlString(Settings.DataCentre_) << '\n'
       << "caller_address = " << tomlString(Settings.CallerAddress_) << '\n'
       << "peer_address = " << tomlString(Settings.PeerAddress_) << '\n'
       << "seeds = " << tomlList(Settings.Seeds_) << '\n'
       << "key_value_endpoints = " << tomlList(Settings.KeyValueEndpoints_)
       << '\n'
       << "host_list_address = " << tomlString(Settings.HostListAddress_)
       << '\n'
       << "fleet_secret = " << tomlString(Settings.FleetSecret_) << '\n'
       << "operator_key_digest = " << tomlString(Settings.OperatorKeyDigest_)
       << '\n'
       << "log_level = " << tomlString(Settings.LogLevel_) << '\n'
       << Settings.ExtraSettings_ << '\n';
}

} // namespace

DaemonProcess::DaemonProcess(const DaemonProcessSettings &Settings)
    : SettingsFile_(temporaryFile("settings")), LogFile_(temporaryFile("log")) {
  writeSettings(SettingsFile_, Settings);
  addFailureArtifact(SettingsFile_);
  addFailureArtifact(LogFile_);
  ChildProcessSettings Child;
  Child.Program_ = AMARANTH_BINARY_DIR "/amaranthd";
  Child.Arguments_ = {"--settings", SettingsFile_};
  Child.StandardErrorFile_ = LogFile_;
  Process_ = std::make_unique<ChildProcess>(Child);
  readAddresses();
}

DaemonProcess::~DaemonProcess() = default;

void DaemonProcess::readAddresses() {
  auto Line = Process_->readLine(StartTimeout);
  static const std::regex Pattern(R"(listening caller=(\S+) peer=(\S+))");
  std::smatch Match;
  if (!Line || !std::regex_match(*Line, Match, Pattern))
    throw std::runtime_error(
        "amaranthd did not print its listening addresses within 30 s; log: " +
        LogFile_);
  CallerAddress_ = Match[1];
  PeerAddress_ = Match[2];
}

} // namespace amaranth::integration
