/// \file
/// Stand-ins of the platform for the cases of the third review: HTTP servers
/// and clients, the store, servers that register there, entry hosts as
/// separate processes, and the record of a case.
#ifndef REVIEW_SUPPORT_3_SUPPORT_H
#define REVIEW_SUPPORT_3_SUPPORT_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Writes the lines of record.txt, each with the time since the start.
class Record final {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void line(const std::string &Text);
  /// Milliseconds since the start of the case.
  std::int64_t now() const;

private:
  std::mutex Mutex_;
  std::FILE *File_;
  Clock::time_point Start_ = Clock::now();
};

/// An HTTP message.
struct Message {
  std::string StartLine_;
  std::vector<std::pair<std::string, std::string>> Fields_;
  std::string Body_;
  bool Complete_ = false; ///< Ended as its framing says.

  /// The value of a field, or an empty string.
  std::string field(const std::string &Name) const;
  std::string method() const;
  /// The target of a request without its query.
  std::string path() const;
  /// A decoded parameter of the query, or an empty string.
  std::string parameter(const std::string &Name) const;
  /// The status of an answer; 0 if there is none.
  int status() const;
};

/// One end of a TCP connection; used by one thread, except for shutDown().
class Connection final {
public:
  explicit Connection(int Socket);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Reads one message. Its Complete_ is not set if the connection ended or
  /// the time passed before.
  Message read(Ms Limit = Ms{3600000});
  bool write(const std::string &Bytes);
  /// Makes the close of the connection a reset.
  void resetOnClose();
  /// Whether the peer has closed its side.
  bool hasPeerClosed();
  /// Ends operations in progress in other threads.
  void shutDown();
  /// A number that no other connection has.
  std::uint64_t number() const { return Number_; }

private:
  bool receive(Clock::time_point Until);
  void readBody(Message &Target, Clock::time_point Until);

  int Socket_;
  std::uint64_t Number_;
  std::string Input_;
};

/// Connects to "127.0.0.1:PORT"; null if that fails.
std::unique_ptr<Connection> connectTo(const std::string &Address);

/// Sends \p Request on a new connection and reads the answer.
Message call(const std::string &Address, const std::string &Request, Ms Limit);

/// An answer with a length.
std::string answer(int Status, const std::string &Fields,
                   const std::string &Body);

/// A loopback port that nothing listens on.
int freePort();

/// Listens on a loopback port, with a thread for each connection. The handler
/// returns false to close its connection.
class HttpServer final {
public:
  using Handler = std::function<bool(Connection &, const Message &)>;

  explicit HttpServer(Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  std::string address() const;
  /// Closes the listener and all connections. No other call may follow.
  void stop();
  /// Closes the connections that are open now.
  void closeConnections();

private:
  void accept();
  void serve(const std::shared_ptr<Connection> &Open);

  Handler Handle_;
  int Listener_ = -1;
  int Port_ = 0;
  std::mutex Mutex_;
  bool IsStopping_ = false;
  std::list<std::shared_ptr<Connection>> Connections_;
  std::list<std::thread> Threads_;
  std::thread Acceptor_;
};

/// The platform's store: items with revisions, watches, transactions and
/// leases. A drill replaces its contents by a copy that was taken before.
class Store final {
public:
  struct Item {
    std::string Value_; ///< As base64.
    std::uint64_t Revision_ = 0;
    std::uint64_t CreateRevision_ = 0;
    std::uint64_t Lease_ = 0;
  };
  struct Lease {
    Clock::time_point Expiry_;
    Ms TimeToLive_{0};
  };
  /// What a drill restores.
  struct Copy {
    std::map<std::string, Item> Items_;
    std::map<std::uint64_t, Lease> Leases_;
    std::uint64_t Revision_ = 0;
  };

  Store();
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  std::string address() const { return Server_->address(); }
  /// Writes an item as the operator or a server; returns its revision, or
  /// nothing while the store is away.
  std::optional<std::uint64_t> put(const std::string &Key, const Json &Value);
  void remove(const std::string &Key);
  /// The item's value and revision, if it exists and the store is there.
  std::optional<std::pair<Json, std::uint64_t>> get(const std::string &Key);
  Copy copy();
  /// From now on connections are reset.
  void goAway();
  /// Returns with the contents of now, or of \p Restored after a drill.
  void comeBack(const std::optional<Copy> &Restored);
  std::uint64_t revision();

private:
  struct Event {
    std::string Key_;
    std::uint64_t Revision_ = 0;
    bool Removed_ = false;
    Item Item_;
  };

  bool handle(Connection &Caller, const Message &Request);
  std::pair<int, Json> answerCall(const Message &Request);
  std::pair<int, Json> range(const Message &Request);
  std::pair<int, Json> watch(const Message &Request);
  std::pair<int, Json> transact(const Message &Request);
  void write(const std::string &Key, const std::string &Value,
             std::uint64_t LeaseId);
  void erase(const std::string &Key);
  void endLease(std::uint64_t Id);
  void expireLeases();
  static Json toJson(const std::string &Key, const Item &Source);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Item> Items_;
  std::vector<Event> History_;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t Revision_ = 100;
  std::uint64_t LastLease_ = 7000;
  std::uint64_t Era_ = 1;
  bool IsAway_ = false;
  bool IsStopping_ = false;
  std::thread Expiry_;
  std::unique_ptr<HttpServer> Server_;
};

/// A server that registers in the store and writes its record there again every
/// 1.2 s. The record changes only when more than its sequence changes.
class Target final {
public:
  Target(Store &Registry, std::string Id, std::string Service, std::string Zone,
         int Slots, HttpServer::Handler Handle);
  ~Target();
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  const std::string &id() const { return Id_; }
  std::string address() const { return Server_->address(); }
  /// Reports that it is draining.
  void drain();

private:
  void beat();
  void writeRecord();

  Store &Registry_;
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  int Slots_;
  std::int64_t Born_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string State_ = "ready";
  int Sequence_ = 0;
  bool IsStopping_ = false;
  std::unique_ptr<HttpServer> Server_;
  std::thread Heart_;
};

/// One `target/amaranthd --platform`, started in the current folder.
class Host final {
public:
  Host(Store &Registry, const std::string &Folder, int Number,
       const std::string &Zone);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  const std::string &name() const { return Name_; }
  std::string front() const { return Front_; }
  bool isReady() const;
  /// The number of entry hosts that its directory names.
  std::size_t named() const;
  void signal(int Number) const;
  /// Waits for the end of the process; nothing if it still runs after \p Limit.
  std::optional<int> wait(Ms Limit);

private:
  std::string Name_;
  std::string Front_;
  std::string Ready_;
  std::string Directory_;
  int Process_ = -1;
};

/// Starts \p Count hosts and waits until all are ready and name each other.
/// Empty if that does not happen within 20 s.
std::vector<std::unique_ptr<Host>>
startHosts(Store &Registry, const std::string &Folder, int Count);

/// A folder for settings and logs, removed at the end.
class TemporaryFolder final {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

/// Path of record.txt, from the variable RECORD.
std::string recordPath();

/// True unless the variable TROUBLE is "0".
bool hasTrouble();

/// Waits until \p Condition holds; false if it does not within \p Limit.
bool waitFor(const std::function<bool()> &Condition, Ms Limit);

/// A number that no other call returns, as 16 hexadecimal digits.
std::string newId();

} // namespace review

#endif
