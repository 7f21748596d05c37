/// \file
/// A fleet within the test process: a key-value store and a network with
/// injected faults, a membership table, and targets that count executions.
#ifndef AMARANTH_TESTS_COORDINATION_ONCEFIXTURE_H
#define AMARANTH_TESTS_COORDINATION_ONCEFIXTURE_H

#include "Coordination/OnceRunner.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::coordination::test {

/// Timeout for an expected event; only a failing test comes near it.
constexpr Milliseconds EventLimit{20000};

/// A point at which threads wait until the test opens it.
class Gate {
public:
  void wait();           ///< Called by the component under test.
  void waitForArrival(); ///< Waits until a thread waits at the gate.
  void open();

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  int Arrived_ = 0;
  bool Open_ = false;
};

/// Fault injected into one call.
enum class Fault {
  None,
  Unavailable, ///< Fails before anything is sent.
  LoseRequest, ///< Ambiguous, without effect.
  LoseReply,   ///< Ambiguous, after the effect.
  DelayEffect, ///< Ambiguous; takes effect at releaseDelayed().
  Hang,        ///< Ambiguous without effect, after the whole timeout.
};

/// In-memory key-value store, shared by all hosts.
class FakeStore {
public:
  protocol::RangeResult range(const std::string &Key, bool Prefix);
  protocol::TransactionResult commit(const protocol::Transaction &Request);
  void delayCommit(const protocol::Transaction &Request);
  void releaseDelayed();
  std::size_t count(const std::string &Prefix);

private:
  bool isSatisfied(const protocol::Compare &Condition) const;

  std::mutex Mutex_;
  std::map<std::string, protocol::KeyValue> Pairs_;
  std::uint64_t Revision_ = 1;
  std::vector<protocol::Transaction> Delayed_;
};

/// Access of one host to the store. The hook selects the fault of each call and
/// may block to freeze the caller. It gets a null transaction for a read.
class StoreClient final : public protocol::KeyValueStore {
public:
  using FaultHook = std::function<Fault(const protocol::Transaction *)>;
  explicit StoreClient(FakeStore &Store) : Store_(Store) {}
  void setFaultHook(FaultHook Hook);
  /// Called after each commit that took effect, before the caller gets the
  /// reply.
  void setAfterCommit(std::function<void()> Hook);
  /// Removes the conditions of writes under \p Prefix, as a naive
  /// implementation would.
  void setUnconditionalPrefix(std::string Prefix);

  Result<protocol::RangeResult> range(const std::string &Key, bool Prefix,
                                      Milliseconds Timeout) override;
  Result<protocol::TransactionResult>
  commit(const protocol::Transaction &Request, Milliseconds Timeout) override;
  Result<protocol::LeaseGrant> grantLease(Seconds, Milliseconds) override;
  Result<protocol::LeaseGrant> keepAlive(std::int64_t, Milliseconds) override;
  Result<void> revokeLease(std::int64_t, Milliseconds) override;
  Result<std::unique_ptr<protocol::Watch>>
  watch(const std::string &, std::uint64_t, protocol::WatchListener &) override;

private:
  Fault nextFault(const protocol::Transaction *Request);
  protocol::TransactionResult
  applyWithHooks(const protocol::Transaction &Request);

  FakeStore &Store_;
  std::mutex Mutex_;
  FaultHook FaultHook_;
  std::function<void()> AfterCommit_;
  std::string UnconditionalPrefix_;
};

/// True if \p Request writes a journal segment.
bool isAppend(const protocol::Transaction *Request);

/// Membership that the test sets; all hosts see the same.
class FakeMembers {
public:
  void set(const protocol::Member &Entry);
  void setStatus(const std::string &Host, protocol::MemberStatus Status);
  std::vector<protocol::Member> members() const;

private:
  mutable std::mutex Mutex_;
  std::map<std::string, protocol::Member> Members_;
};

/// Counts the executions at the targets, independently of the answers to the
/// callers.
class ExecutionLog {
public:
  struct Record {
    int Runs_ = 0;
    std::vector<std::string> Bodies_;
  };
  void recordRun(const protocol::ForwardedRequest &Request);
  int runCount(const std::string &Key) const;
  std::map<std::string, Record> records() const;
  /// The response body of a target to a request with \p Body.
  static std::string targetAnswer(const std::string &Body);

private:
  mutable std::mutex Mutex_;
  std::map<std::string, Record> Records_; ///< By "<account>/<key>".
};

class Fleet;

/// One daemon process. After Fleet::kill() its threads have no effect outside
/// of the process.
class Node final : public MemberView,
                   public protocol::PeerNetwork,
                   public CallDispatcher,
                   public SessionListener {
public:
  Node(Fleet &Owner, std::string Name, OnceRunnerSettings Settings);
  ~Node() override;

  protocol::RequestOutcome submit(const std::string &Key,
                                  const std::string &Body = "{}",
                                  Milliseconds Timeout = Milliseconds(5000));
  /// Issues a ticket and returns a key with it. Waits for the session unless
  /// \p AllowVolatile is set.
  std::string key(const std::string &Suffix = "a", bool AllowVolatile = false);

  protocol::Member self() const override;
  std::vector<protocol::Member> members() const override;
  std::optional<protocol::Member> find(const std::string &Host) const override;

  Result<protocol::RequestOutcome>
  forward(const std::string &Address,
          const protocol::ForwardedRequest &Request) override;
  Result<protocol::RequestOutcome> lookUp(const std::string &Address,
                                          const std::string &Key,
                                          Milliseconds Timeout) override;
  Result<protocol::Gossip> probe(const std::string &, const protocol::Gossip &,
                                 Milliseconds) override;
  Result<bool> probeIndirect(const std::string &, const std::string &,
                             Milliseconds) override;
  Result<std::vector<protocol::ServiceRevision>>
  revisions(const std::string &, Milliseconds) override;
  Result<std::vector<state::StoredDocument>>
  documents(const std::string &, const std::vector<std::string> &,
            Milliseconds) override;
  Result<void> pushDocument(const std::string &, const state::StoredDocument &,
                            Milliseconds) override;
  Result<void> reportSuspect(const std::string &,
                             const protocol::SuspectInput &,
                             Milliseconds) override;

  protocol::RequestOutcome dispatch(const protocol::ForwardedRequest &Request,
                                    SteadyTime Deadline) override;
  void onSessionOpen(std::uint64_t Incarnation) override;

  Fleet &Fleet_;
  std::string Name_;
  std::atomic<bool> Killed_{false};
  std::atomic<bool> Reachable_{true}; ///< Whether its peers can reach it.
  /// Selects the fault of each call to a peer; set it before any call. With
  /// DelayEffect the request arrives at Fleet::releaseForwards().
  std::function<Fault()> PeerFaultHook_;
  /// Called in each dispatch before the execution is counted; may replace the
  /// answer.
  std::function<std::optional<protocol::RequestOutcome>()> DispatchHook_;
  StoreClient Store_;
  std::unique_ptr<Session> Session_;
  std::unique_ptr<OnceRunner> Runner_;
};

/// All daemons, and the store, membership and targets that they share.
class Fleet {
public:
  /// Settings with short intervals for tests.
  static OnceRunnerSettings settings();

  Node &start(const std::string &Name,
              OnceRunnerSettings Settings = settings());
  /// Crashes a daemon; membership lists it as dead if \p ListAsDead.
  void kill(Node &Crashed, bool ListAsDead = true);
  /// The running daemon at \p Address, or null.
  Node *findByAddress(const std::string &Address);

  /// Holds a forwarded request back until releaseForwards().
  void delayForward(Node &Peer, const protocol::ForwardedRequest &Request);
  /// Delivers the requests held back, each on its own thread.
  void releaseForwards();
  /// Waits for the threads started by releaseForwards().
  void joinForwards();

  FakeStore Store_;
  FakeMembers Members_;
  ExecutionLog Executions_;

private:
  std::vector<std::function<void()>> DelayedForwards_;
  std::vector<std::future<void>> Forwards_;
  std::mutex Mutex_;
  std::vector<std::unique_ptr<Node>> Nodes_;
};

/// A request with the account and service that all tests use.
protocol::ForwardedRequest makeRequest(const std::string &Key,
                                       const std::string &Body,
                                       Milliseconds Timeout);

/// Polls \p Condition until it holds; false after EventLimit.
bool eventually(const std::function<bool()> &Condition);

} // namespace amaranth::coordination::test

#endif
