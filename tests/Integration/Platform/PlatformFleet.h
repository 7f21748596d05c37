/// \file
/// Entry hosts in platform mode, with test doubles of the store and of targets.
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

/// Answer that a caller received.
struct PlatformAnswer {
  int Status_ = 0;        ///< 0 if no answer arrived.
  bool Complete_ = false; ///< The body is not truncated.
  std::string Body_;
  transport::HttpHead Head_;
};

/// A target that registers itself in the store and passes requests to a handler
/// of the test.
class TargetDouble final {
public:
  TargetDouble(StoreDouble &Store, std::string Id, std::string Service,
               RawServer::Handler Handle, std::string Zone = "a",
               std::string Version = "v1");

  const std::string &id() const { return Id_; }
  std::string address() const { return Server_->address(); }
  void setDraining();
  /// Writes its record once more.
  void writeAgain() { publishState(State_); }
  /// Writes the record of a ready target, with the same start time.
  void setReady();
  /// Removes its entry, as after a crash.
  void unregister();
  /// Registers again with a later start time.
  void restart();
  void restart(const std::string &Version);
  int requests() const { return Requests_; }

private:
  void publishState(const char *State);

  StoreDouble &Store_;
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  std::string Version_;
  std::atomic<int> Requests_{0};
  std::unique_ptr<RawServer> Server_;
  int Born_ = 1;
  const char *State_ = "ready";
};

/// Header fields of a valid answer to \p Request.
std::string validResponseFields(const RawRequest &Request);
/// Sends a valid answer with the body "done".
bool answerDone(RawServerConnection &Connection, const RawRequest &Request);
/// A server-sent event with the id \p Number.
std::string streamEvent(int Number);
/// Status line and fields of a valid stream, without framing and empty line.
std::string streamHead(const RawRequest &Request);
/// Streams events 1 to 4 in chunks, starting after Last-Event-Id.
bool streamAll(RawServerConnection &Connection, const RawRequest &Request);
/// Resets the connection without an answer.
bool resetWithoutAnswer(RawServerConnection &Connection, const RawRequest &);
/// The answer to a stage call that answerStageCall() sends.
std::string stageAnswer(const RawRequest &Request, const std::string &Address);
/// Answers a stage call with a result handle for every piece, which is one unit
/// of a stage's work for a request.
bool answerStageCall(RawServerConnection &Connection, const RawRequest &Request,
                     const std::string &Address);

/// Starts `amaranthd --platform` processes and waits until all are ready and
/// listed in the directory.
class PlatformFleet final {
public:
  /// The hosts are in turn in the data centres "a", "b" and so on.
  PlatformFleet(StoreDouble &Store, std::size_t Hosts,
                std::size_t DataCentres = 1);

  /// Starts one more host and waits until it is ready and listed.
  void addHost(StoreDouble &Store);
  ChildProcess &process(std::size_t Host) { return *Hosts_.at(Host).Process_; }
  /// Sends a request to the caller address of a host and reads the answer.
  PlatformAnswer call(std::size_t Host, const std::string &Request);
  /// The same with a pause after the first \p FirstBytes of the request.
  PlatformAnswer callWithPause(std::size_t Host, const std::string &Request,
                               std::size_t FirstBytes, Milliseconds Pause);
  /// The same for a request in \p Parts, with a pause between each two.
  PlatformAnswer callInParts(std::size_t Host,
                             const std::vector<std::string> &Parts,
                             Milliseconds Pause);
  /// Sends a request, and reads and discards what arrives until the end of the
  /// answer's connection, for \p Limit at most. Returns the number of bytes.
  std::size_t callAndDiscard(std::size_t Host, const std::string &Request,
                             Milliseconds Limit);
  /// Sends a request and reads the answer through small buffers: up to
  /// \p BytesPerRead, then a pause, and so on. After \p SlowTime the rest is
  /// read at once.
  PlatformAnswer callSlowly(std::size_t Host, const std::string &Request,
                            std::size_t BytesPerRead, Milliseconds Pause,
                            Milliseconds SlowTime);
  /// Sends a request and closes the connection after \p Delay without reading.
  void sendAndDisconnect(std::size_t Host, const std::string &Request,
                         Milliseconds Delay);
  /// Returns the entry-host addresses that the directory of a host answers
  /// with, to a caller in \p DataCentre.
  std::vector<std::string>
  resolveEntryHosts(std::size_t Host, const std::string &DataCentre = "a");
  std::string callerAddress(std::size_t Host) const;
  bool isReady(std::size_t Host);
  /// Asks for the metrics at the address of the readiness checks.
  PlatformAnswer metrics(std::size_t Host);

private:
  struct HostProcess {
    int CallerPort_ = 0;
    int ReadinessPort_ = 0;
    int DirectoryPort_ = 0;
    std::unique_ptr<ChildProcess> Process_;
  };

  void start(StoreDouble &Store, std::size_t Index);
  void waitUntilServing();

  std::size_t DataCentres_;
  std::vector<HostProcess> Hosts_;
};

/// A request of the account "t" with a new id.
std::string platformRequest(const std::string &Method, const std::string &Path,
                            const std::string &Fields = "",
                            const std::string &Body = "");

/// Initial configuration of the tests. The service "desk" has the idempotent
/// route "/look/" and the non-idempotent route "/order/". The service "engine"
/// streams the routes "/draft/", which may be resumed, "/once/", which may not,
/// and "/guide/", which needs two stages of the service "stage" first.
nlohmann::json platformConfiguration();

} // namespace amaranth::integration

#endif
