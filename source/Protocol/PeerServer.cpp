#include "Protocol/PeerServer.h"

#include "Support/Digest.h"
#include "Support/Log.h"

#include <capnp/rpc-twoparty.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace amaranth::protocol {

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;
using transport::RpcLoop;
using transport::toDuration;
using transport::WorkArena;

namespace {

constexpr std::size_t NonceBytes = 16;

/// Delay after a failed accept, for example when the process has no free file
/// descriptor.
constexpr Milliseconds AcceptRetryDelay{100};

/// State of a connection, shared with the capabilities that it handed out.
struct ConnectionStatus {
  bool Authenticated_ = false;
  std::size_t Calls_ = 0; ///< In progress.
  SteadyTime LastUse_ = SteadyClock::now();
};

/// Runs handler calls in the arena and passes their results to the loop.
class HandlerRunner final {
public:
  HandlerRunner(const PeerServerSettings &Settings, WorkArena &Arena)
      : Settings_(Settings), Arena_(Arena) {}

  /// Runs \p Work as a task; \p IsForward counts it as a forwarded request.
  template <typename T, typename F>
  kj::Promise<kj::Own<T>> run(bool IsForward, F Work) {
    if (!tryStart(IsForward))
      return KJ_EXCEPTION(OVERLOADED, "too many calls in progress");
    auto Completion = kj::newPromiseAndCrossThreadFulfiller<kj::Own<T>>();
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<kj::Own<T>>>;
    auto ResultFulfiller =
        std::make_shared<Fulfiller>(kj::mv(Completion.fulfiller));
    Arena_.enqueue([this, IsForward, ResultFulfiller, Work = std::move(Work)] {
      try {
        (*ResultFulfiller)->fulfill(kj::heap<T>(Work()));
      } catch (...) {
        (*ResultFulfiller)
            ->reject(KJ_EXCEPTION(FAILED, "the handler threw an exception"));
      }
      // Released before finish(), because the loop may end after that.
      *ResultFulfiller = nullptr;
      finish(IsForward);
    });
    return kj::mv(Completion.promise);
  }

  /// Waits for all tasks.
  void waitIdle() {
    std::unique_lock Lock(Mutex_);
    Idle_.wait(Lock, [this] { return Calls_ == 0; });
  }

private:
  bool tryStart(bool IsForward) {
    std::lock_guard Lock(Mutex_);
    if (Calls_ >= Settings_.MaxCalls_)
      return false;
    if (IsForward && Forwards_ >= Settings_.MaxForwards_)
      return false;
    ++Calls_;
    Forwards_ += IsForward ? 1 : 0;
    return true;
  }

  void finish(bool IsForward) {
    // Notifies under the lock, because the waiter may destroy this object next.
    std::lock_guard Lock(Mutex_);
    --Calls_;
    Forwards_ -= IsForward ? 1 : 0;
    Idle_.notify_all();
  }

  const PeerServerSettings &Settings_;
  WorkArena &Arena_;
  std::mutex Mutex_;
  std::condition_variable Idle_;
  std::size_t Calls_ = 0;
  std::size_t Forwards_ = 0;
};

/// The capability that an authenticated peer gets.
class PeerServant final : public wire::Peer::Server {
public:
  PeerServant(const PeerServerSettings &Settings, HandlerRunner &Runner,
              PeerHandler &Handler, std::shared_ptr<ConnectionStatus> Status)
      : Settings_(Settings), Runner_(Runner), Handler_(Handler),
        Status_(std::move(Status)) {}

  kj::Promise<void> probe(ProbeContext Context) override {
    Gossip PeerGossip =
        detail::decode(Context.getParams().getMine(), Settings_.Limits_);
    return serve<Gossip>([&Handler = Handler_,
                          PeerGossip] { return Handler.onProbe(PeerGossip); },
                         [Context](const Gossip &OwnGossip) mutable {
                           detail::encode(OwnGossip,
                                          Context.getResults().initYours());
                         });
  }

  kj::Promise<void> probeIndirect(ProbeIndirectContext Context) override {
    std::string Address = detail::decode(Context.getParams().getPeerAddress());
    return serve<bool>([&Handler = Handler_,
                        Address] { return Handler.onProbeIndirect(Address); },
                       [Context](bool Answered) mutable {
                         Context.getResults().setAnswered(Answered);
                       });
  }

  kj::Promise<void> forward(ForwardContext Context) override {
    ForwardedRequest Request = detail::decode(Context.getParams().getRequest());
    return serve<RequestOutcome>(
        [&Handler = Handler_, Request] { return Handler.onForward(Request); },
        [Context](const RequestOutcome &Outcome) mutable {
          detail::encode(Outcome, Context.getResults().initOutcome());
        },
        true);
  }

  kj::Promise<void> lookUp(LookUpContext Context) override {
    std::string Key = detail::decode(Context.getParams().getIdempotencyKey());
    return serve<RequestOutcome>(
        [&Handler = Handler_, Key] { return Handler.onLookUp(Key); },
        [Context](const RequestOutcome &Outcome) mutable {
          detail::encode(Outcome, Context.getResults().initOutcome());
        });
  }

  kj::Promise<void> revisions(RevisionsContext Context) override {
    return serve<std::vector<ServiceRevision>>(
        [&Handler = Handler_] { return Handler.onRevisions(); },
        [Context](const std::vector<ServiceRevision> &Revisions) mutable {
          detail::encodeList(
              Revisions, Context.getResults().initRevisions(Revisions.size()));
        });
  }

  kj::Promise<void> documents(DocumentsContext Context) override {
    auto Names = detail::decodeList<std::string>(Context.getParams().getNames(),
                                                 Settings_.Limits_);
    using Documents = std::vector<state::StoredDocument>;
    return serve<Documents>(
        [&Handler = Handler_, Names] { return Handler.onDocuments(Names); },
        [this, Context](Documents StoredDocuments) mutable {
          limitSize(StoredDocuments);
          detail::encodeList(
              StoredDocuments,
              Context.getResults().initDocuments(StoredDocuments.size()));
        });
  }

  kj::Promise<void> pushDocument(PushDocumentContext Context) override {
    state::StoredDocument Document =
        detail::decode(Context.getParams().getDocument());
    return serve<Done>(
        [&Handler = Handler_, Document] {
          Handler.onPushDocument(Document);
          return Done{};
        },
        [](Done) {});
  }

  kj::Promise<void> reportSuspect(ReportSuspectContext Context) override {
    SuspectInput Suspect =
        detail::decode(Context.getParams().getSuspect(), Settings_.Limits_);
    return serve<Done>(
        [&Handler = Handler_, Suspect] {
          Handler.onSuspect(Suspect);
          return Done{};
        },
        [](Done) {});
  }

private:
  /// Runs \p Work in the arena, then \p WriteResult on the loop with its
  /// result.
  template <typename T, typename F, typename G>
  kj::Promise<void> serve(F Work, G WriteResult, bool IsForward = false) {
    auto Status = Status_;
    ++Status->Calls_;
    auto EndOfCall = kj::defer([Status] {
      --Status->Calls_;
      Status->LastUse_ = SteadyClock::now();
    });
    return Runner_.run<T>(IsForward, std::move(Work))
        .then([WriteResult = std::move(WriteResult)](kj::Own<T> Value) mutable {
          WriteResult(std::move(*Value));
        })
        .attach(kj::mv(EndOfCall), thisCap());
  }

  /// Keeps the first documents that together fit into one reply, but at least
  /// one.
  void limitSize(std::vector<state::StoredDocument> &Documents) const {
    std::size_t Bytes = 0;
    std::size_t Count = 0;
    for (const state::StoredDocument &Document : Documents) {
      Bytes += Document.Text_.size();
      if (Count > 0 && Bytes > Settings_.Limits_.MaxDocumentBytes_)
        break;
      ++Count;
    }
    Documents.resize(Count);
  }

  const PeerServerSettings &Settings_;
  HandlerRunner &Runner_;
  PeerHandler &Handler_;
  std::shared_ptr<ConnectionStatus> Status_;
};

/// The bootstrap object of a connection; authenticates the peer.
class GateServant final : public wire::Gate::Server {
public:
  GateServant(const PeerServerSettings &Settings, HandlerRunner &Runner,
              PeerHandler &Handler, std::shared_ptr<ConnectionStatus> Status)
      : Settings_(Settings), Runner_(Runner), Handler_(Handler),
        Status_(std::move(Status)) {}

  kj::Promise<void> challenge(ChallengeContext Context) override {
    Nonce_ = randomHex(NonceBytes);
    Context.getResults().setNonce(Nonce_.c_str());
    return kj::READY_NOW;
  }

  kj::Promise<void> authenticate(AuthenticateContext Context) override {
    auto Parameters = Context.getParams();
    std::string Mac = detail::decode(Parameters.getMac());
    std::string ClientNonce = detail::decode(Parameters.getNonce());
    // A nonce is valid for one attempt only.
    std::string ServerNonce = std::exchange(Nonce_, {});
    const std::string &Secret = Settings_.FleetSecret_;
    const bool Proven =
        !ServerNonce.empty() &&
        equalsConstantTime(
            Mac, detail::clientProof(Secret, ServerNonce, ClientNonce));
    if (!Proven) {
      LogEvent(LogLevel::Warn, "peer_refused")
          .field("reason", "unauthenticated");
      return KJ_EXCEPTION(FAILED, "unauthenticated");
    }
    Status_->Authenticated_ = true;
    auto Results = Context.getResults();
    Results.setMac(
        detail::serverProof(Secret, ServerNonce, ClientNonce).c_str());
    Results.setPeer(
        kj::heap<PeerServant>(Settings_, Runner_, Handler_, Status_));
    return kj::READY_NOW;
  }

private:
  const PeerServerSettings &Settings_;
  HandlerRunner &Runner_;
  PeerHandler &Handler_;
  std::shared_ptr<ConnectionStatus> Status_;
  std::string Nonce_;
};

/// One accepted connection.
struct ServerConnection {
  ServerConnection(kj::Own<kj::AsyncIoStream> Stream,
                   const PeerServerSettings &Settings,
                   std::shared_ptr<ConnectionStatus> Status,
                   wire::Gate::Client Gate)
      : Status_(std::move(Status)), Stream_(kj::mv(Stream)),
        Network_(*Stream_, Side::SERVER,
                 detail::readerOptions(Settings.Limits_)),
        Rpc_(capnp::makeRpcServer(Network_, kj::mv(Gate))) {}

  std::shared_ptr<ConnectionStatus> Status_;
  kj::Own<kj::AsyncIoStream> Stream_;
  capnp::TwoPartyVatNetwork Network_;
  capnp::RpcSystem<VatId> Rpc_;
};

} // namespace

/// The listener and its connections; used on the loop's thread only.
struct PeerServer::State final : private kj::TaskSet::ErrorHandler {
  State(PeerServer &Owner, kj::Own<kj::ConnectionReceiver> Listener)
      : Owner_(Owner), Settings_(Owner.Settings_),
        Runner_(Owner.Settings_, Owner.Arena_), Listener_(kj::mv(Listener)) {
    Tasks_.emplace(static_cast<kj::TaskSet::ErrorHandler &>(*this));
    Tasks_->add(accept());
    Tasks_->add(closeUnusedPeriodically());
  }

  kj::Promise<void> accept() {
    return Listener_->accept().then(
        [this](kj::Own<kj::AsyncIoStream> Stream) {
          add(kj::mv(Stream));
          return accept();
        },
        [this](kj::Exception &&Failure) {
          LogEvent(LogLevel::Error, "peer_accept_failed")
              .field("reason", Failure.getDescription().cStr());
          return Owner_.Loop_.timer()
              .afterDelay(toDuration(AcceptRetryDelay))
              .then([this] { return accept(); });
        });
  }

  bool isFull() const {
    std::size_t Unauthenticated = 0;
    for (const auto &[Id, Connection] : Connections_)
      Unauthenticated += Connection.Status_->Authenticated_ ? 0 : 1;
    return Connections_.size() >= Settings_.MaxConnections_ ||
           Unauthenticated >= Settings_.MaxUnauthenticated_;
  }

  void add(kj::Own<kj::AsyncIoStream> Stream) {
    if (isFull()) {
      LogEvent(LogLevel::Warn, "peer_refused")
          .field("reason", "too many connections");
      return;
    }
    auto Status = std::make_shared<ConnectionStatus>();
    auto Gate =
        kj::heap<GateServant>(Settings_, Runner_, Owner_.Handler_, Status);
    auto Connection = kj::heap<ServerConnection>(kj::mv(Stream), Settings_,
                                                 Status, kj::mv(Gate));
    const std::uint64_t Id = ++LastId_;
    auto CloseSignal = kj::newPromiseAndFulfiller<void>();
    auto Ended = Connection->Network_.onDisconnect().exclusiveJoin(
        kj::mv(CloseSignal.promise));
    Connections_.emplace(Id,
                         OpenConnection{Status, kj::mv(CloseSignal.fulfiller)});
    auto EraseEntry = kj::defer([this, Id] { Connections_.erase(Id); });
    Tasks_->add(Ended.attach(kj::mv(Connection), kj::mv(EraseEntry)));
  }

  kj::Promise<void> closeUnusedPeriodically() {
    const Milliseconds Period =
        std::min(Settings_.AuthenticationTimeout_, Settings_.IdleLifetime_) / 2;
    return Owner_.Loop_.timer().afterDelay(toDuration(Period)).then([this] {
      closeUnused();
      return closeUnusedPeriodically();
    });
  }

  void closeUnused() {
    const SteadyTime Now = SteadyClock::now();
    for (auto &[Id, Connection] : Connections_) {
      const ConnectionStatus &Status = *Connection.Status_;
      const Milliseconds Limit = Status.Authenticated_
                                     ? Settings_.IdleLifetime_
                                     : Settings_.AuthenticationTimeout_;
      if (Status.Calls_ == 0 && Now - Status.LastUse_ > Limit)
        Connection.Close_->fulfill();
    }
  }

  void taskFailed(kj::Exception &&Failure) override {
    LogEvent(LogLevel::Debug, "peer_connection_failed")
        .field("reason", Failure.getDescription().cStr());
  }

  /// Entry of an open connection; the connection itself belongs to its task.
  struct OpenConnection {
    std::shared_ptr<ConnectionStatus> Status_;
    kj::Own<kj::PromiseFulfiller<void>> Close_;
  };

  PeerServer &Owner_;
  const PeerServerSettings &Settings_;
  HandlerRunner Runner_;
  kj::Own<kj::ConnectionReceiver> Listener_;
  std::map<std::uint64_t, OpenConnection> Connections_;
  std::uint64_t LastId_ = 0;
  /// Destroyed first, because the tasks use the other members.
  std::optional<kj::TaskSet> Tasks_;
};

PeerServer::PeerServer(const PeerServerSettings &Settings, RpcLoop &Loop,
                       WorkArena &Arena, PeerHandler &Handler)
    : Settings_(Settings), Loop_(Loop), Arena_(Arena), Handler_(Handler) {}

PeerServer::~PeerServer() { stop(); }

Result<void> PeerServer::start() {
  if (Settings_.FleetSecret_.empty())
    return fail(ErrorCode::InvalidArgument, "the fleet secret is empty");
  Error Failure;
  const bool Started = Loop_.run([&] {
    auto Address = Loop_.parseAddress(Settings_.Address_);
    KJ_IF_MAYBE (NumericAddress, Address) {
      auto Thrown = kj::runCatchingExceptions([&] {
        auto Listener = (*NumericAddress)->listen();
        Port_ = static_cast<int>(Listener->getPort());
        State_ = std::make_unique<State>(*this, kj::mv(Listener));
      });
      KJ_IF_MAYBE (Reason, Thrown) {
        Failure = {ErrorCode::Unavailable,
                   "cannot bind " + Settings_.Address_ + ": " +
                       std::string(Reason->getDescription().cStr())};
        return false;
      }
      return true;
    }
    Failure = {ErrorCode::InvalidArgument,
               "peer address is not a numeric IP:PORT: " + Settings_.Address_};
    return false;
  });
  if (!Started)
    return boost::leaf::new_error(std::move(Failure));
  return {};
}

void PeerServer::stop() {
  if (!State_)
    return;
  // Closes the connections; the tasks in the arena do not use them.
  Loop_.run([this] {
    State_->Tasks_.reset();
    State_->Listener_ = nullptr;
  });
  State_->Runner_.waitIdle();
  Loop_.run([this] { State_.reset(); });
}

std::size_t PeerServer::connectionCount() {
  return Loop_.run([this] { return State_ ? State_->Connections_.size() : 0; });
}

} // namespace amaranth::protocol
