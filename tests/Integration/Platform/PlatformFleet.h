/// \file
/// Entry hosts in platform mode with stand-ins of the store and of targets.
#ifndef AMARANTH_TESTS_INTEGRATION_PLATFORM_PLATFORMFLEET_H
#define AMARANTH_TESTS_INTEGRATION_PLATFORM_PLATFORMFLEET_H

#include "Integration/ChildProcess.h"
#include "Integration/Platform/StoreDouble.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::integration {

/// What a caller received.
struct PlatformAnswer {
  int Status_ = 0; ///< 0: none.
  bool Complete_ = false;
  std::string Body_;
  transport::HttpHead Head_;
};

/// A target that registers itself and hands requests to a test's handler.
class TargetDouble final {
public:
  TargetDouble(StoreDouble &Store, std::string Id, std::string Service,
               RawServer::Handler Handle);

  const std::string &id() const { return Id_; }
  std::string address() const { return Server_->address(); }
  void setDraining();
  int requests() const { return Requests_; }

private:
  void publishState(const char *State);

  StoreDouble &Store_;
  std::string Id_;
  std::string Service_;
  std::atomic<int> Requests_{0};
  std::unique_ptr<RawServer> Server_;
};

/// Fields of a sound answer to \p Request.
std::string validResponseFields(const RawRequest &Request);
/// Answers with "done" as a sound target does.
bool answerDone(RawServerConnection &Connection, const RawRequest &Request);
/// Makes every piece of a stage call.
bool answerStageCall(RawServerConnection &Connection, const RawRequest &Request,
                     const std::string &Address);

/// Starts `amaranthd --platform` processes and waits until all serve.
class PlatformFleet final {
public:
  PlatformFleet(StoreDouble &Store, std::size_t Hosts);

  ChildProcess &process(std::size_t Host) { return *Hosts_.at(Host).Process_; }
  /// Sends a request to the caller address of a host and reads the answer.
  PlatformAnswer call(std::size_t Host, const std::string &Request);
  /// Sends a request and closes the connection without reading.
  void sendAndDisconnect(std::size_t Host, const std::string &Request,
                         Milliseconds Delay);
  /// Asks the directory of a host; the addresses as they are in the answer.
  std::vector<std::string> resolveEntryHosts(std::size_t Host);
  bool isReady(std::size_t Host);

private:
  struct HostProcess {
    int CallerPort_ = 0;
    int ReadinessPort_ = 0;
    int DirectoryPort_ = 0;
    std::unique_ptr<ChildProcess> Process_;
  };

  void start(StoreDouble &Store, std::size_t Index);

  std::vector<HostProcess> Hosts_;
};

/// A request of the account "t" with a new id.
std::string platformRequest(const std::string &Method, const std::string &Path,
                            const std::string &Fields = "",
                            const std::string &Body = "");

/// The configuration that the tests begin with: "/look/" is idempotent,
/// "/order/" is not, both at the service "desk"; "/draft/" streams from
/// "engine" and may be resumed, "/once/" may not; "/guide/" has a stage at
/// "stage" before it.
nlohmann::json platformConfiguration();

} // namespace amaranth::integration

#endif
