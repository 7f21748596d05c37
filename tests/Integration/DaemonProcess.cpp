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

constexpr Seconds StartLimit{30};

std::string temporaryFile(const std::string &Name) {
  auto Folder = std::filesystem::temp_directory_path();
  std::string Path = (Folder / ("amaranth-" + Name + "-XXXXXX")).string();
  int Descriptor = mkstemp(Path.data());
  if (Descriptor < 0)
    throw std::runtime_error("cannot create " + Path);
  close(Descriptor);
  return Path;
}

std::string quoted(const std::string &Text) {
  std::string Quoted = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Quoted += '\\';
    Quoted += C;
  }
  return Quoted + "\"";
}

std::string quotedList(const std::vector<std::string> &Texts) {
  std::string List = "[";
  for (const std::string &Text : Texts)
    List += quoted(Text) + ", ";
  return List + "]";
}

void writeSettings(const std::string &Path,
                   const DaemonProcessSettings &Settings) {
  std::ofstream File(Path);
  File << "host = " << quoted(Settings.Host_) << '\n'
       << "data_centre = " << quoted(Settings.DataCentre_) << '\n'
       << "caller_address = " << quoted(Settings.CallerAddress_) << '\n'
       << "peer_address = " << quoted(Settings.PeerAddress_) << '\n'
       << "seeds = " << quotedList(Settings.Seeds_) << '\n'
       << "key_value_endpoints = " << quotedList(Settings.KeyValueEndpoints_)
       << '\n'
       << "host_list_address = " << quoted(Settings.HostListAddress_) << '\n'
       << "fleet_secret = " << quoted(Settings.FleetSecret_) << '\n'
       << "operator_key_digest = " << quoted(Settings.OperatorKeyDigest_)
       << '\n'
       << "log_level = " << quoted(Settings.LogLevel_) << '\n'
       << Settings.FurtherKeys_ << '\n';
}

} // namespace

DaemonProcess::DaemonProcess(const DaemonProcessSettings &Settings)
    : SettingsFile_(temporaryFile("settings")),
      ErrorFile_(temporaryFile("log")) {
  writeSettings(SettingsFile_, Settings);
  addFailureArtifact(SettingsFile_);
  addFailureArtifact(ErrorFile_);
  ChildProcessSettings Child;
  Child.Program_ = AMARANTH_BINARY_DIR "/amaranthd";
  Child.Arguments_ = {"--settings", SettingsFile_};
  Child.ErrorFile_ = ErrorFile_;
  Process_ = std::make_unique<ChildProcess>(Child);
  readAddresses();
}

DaemonProcess::~DaemonProcess() = default;

void DaemonProcess::readAddresses() {
  auto Line = Process_->readLine(StartLimit);
  static const std::regex Pattern(R"(listening caller=(\S+) peer=(\S+))");
  std::smatch Found;
  if (!Line || !std::regex_match(*Line, Found, Pattern))
    throw std::runtime_error("amaranthd did not announce its addresses; see " +
                             ErrorFile_);
  CallerAddress_ = Found[1];
  PeerAddress_ = Found[2];
}

} // namespace amaranth::integration
