#include "Protocol/PeerClient.h"

#include "Support/Digest.h"
#include "Support/Log.h"

#include <capnp/rpc-twoparty.h>

#include <map>
#include <optional>

namespace amaranth::protocol {

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;
using transport::RpcLoop;
using transport::toDuration;

namespace {

constexpr std::size_t NonceBytes = 16;

/// A longer nonce cannot come from a peer.
constexpr std::size_t MaxNonceSize = 256;

kj::Exception disconnected(const char *Reason) {
  return KJ_EXCEPTION(DISCONNECTED, Reason);
}

/// Fails \p Work as disconnected after \p Timeout. KJ's own time-out fails as
/// overloaded, which also means that the peer refused the call.
template <typename T>
kj::Promise<T> withTimeout(kj::Timer &Timer, Milliseconds Timeout,
                           kj::Promise<T> Work) {
  auto Expiry =
      Timer.afterDelay(toDuration(Timeout)).then([]() -> kj::Promise<T> {
        return disconnected("timed out");
      });
  return Work.exclusiveJoin(kj::mv(Expiry));
}

/// A connection to one peer, from connecting to authenticated use.
class PeerConnection final : public kj::Refcounted {
public:
  PeerConnection(std::string Address, const PeerClientSettings &Settings,
                 RpcLoop &Loop, kj::Own<kj::NetworkAddress> Target)
      : Address_(std::move(Address)), Settings_(Settings),
        Target_(kj::mv(Target)), Ready_(open(Loop).fork()) {}

  const std::string &address() const { return Address_; }

  /// Resolves when peer() can be used.
  kj::Promise<void> ready() { return Ready_.addBranch(); }
  wire::Peer::Client &peer() { return *Peer_; }

  /// The peer answered, but one of the two sides does not know the fleet
  /// secret.
  bool unauthenticated() const { return Unauthenticated_; }

  /// Connecting failed or the peer closed the connection, so any call on it
  /// would fail.
  bool broken() const { return Broken_; }

  /// Connecting and authenticating has neither succeeded nor failed yet.
  bool opening() const { return Opening_; }

  SteadyTime LastUse_ = SteadyClock::now();

private:
  kj::Promise<void> open(RpcLoop &Loop) {
    auto Authenticated =
        Target_->connect().then([this](kj::Own<kj::AsyncIoStream> Stream) {
          Stream_ = kj::mv(Stream);
          return authenticate();
        });
    return withTimeout<void>(Loop.timer(), Settings_.ConnectTimeout_,
                             kj::mv(Authenticated))
        .then([this] { Opening_ = false; },
              [this](kj::Exception &&Failure) {
                Opening_ = false;
                Broken_ = true;
                kj::throwRecoverableException(kj::mv(Failure));
              });
  }

  kj::Promise<void> authenticate() {
    Network_.emplace(*Stream_, Side::CLIENT,
                     detail::readerOptions(Settings_.Limits_));
    Rpc_.emplace(capnp::makeRpcClient(*Network_));
    Disconnection_ = Network_->onDisconnect()
                         .then([this] { Broken_ = true; })
                         .eagerlyEvaluate([this](auto &&) { Broken_ = true; });
    capnp::MallocMessageBuilder Message;
    auto Server = Message.initRoot<VatId>();
    Server.setSide(Side::SERVER);
    auto Gate = Rpc_->bootstrap(Server).castAs<wire::Gate>();
    auto Challenge = Gate.challengeRequest().send();
    return Challenge.then([this, Gate](auto Reply) mutable {
      return sendProof(Gate, detail::decode(Reply.getNonce()));
    });
  }

  kj::Promise<void> sendProof(wire::Gate::Client &Gate,
                              const std::string &ServerNonce) {
    KJ_REQUIRE(ServerNonce.size() <= MaxNonceSize, "nonce is too long");
    std::string ClientNonce = randomHex(NonceBytes);
    const std::string &Secret = Settings_.FleetSecret_;
    std::string Expected =
        detail::serverProof(Secret, ServerNonce, ClientNonce);
    auto Request = Gate.authenticateRequest();
    Request.setNonce(ClientNonce.c_str());
    Request.setMac(
        detail::clientProof(Secret, ServerNonce, ClientNonce).c_str());
    return Request.send().then(
        [this, Expected](auto Reply) {
          Unauthenticated_ =
              !equalsConstantTime(Expected, detail::decode(Reply.getMac()));
          if (Unauthenticated_)
            kj::throwFatalException(KJ_EXCEPTION(
                FAILED,
                "the peer did not prove that it knows the fleet secret"));
          Peer_ = Reply.getPeer();
        },
        [this](kj::Exception &&Failure) {
          Unauthenticated_ = Failure.getType() == kj::Exception::Type::FAILED;
          kj::throwRecoverableException(kj::mv(Failure));
        });
  }

  std::string Address_;
  const PeerClientSettings &Settings_;
  kj::Own<kj::NetworkAddress> Target_;
  bool Unauthenticated_ = false;
  bool Broken_ = false;
  bool Opening_ = true;
  // Destroyed in reverse order: the calls, then the protocol, then the stream.
  kj::Own<kj::AsyncIoStream> Stream_;
  std::optional<capnp::TwoPartyVatNetwork> Network_;
  std::optional<capnp::RpcSystem<VatId>> Rpc_;
  std::optional<wire::Peer::Client> Peer_;
  kj::Promise<void> Disconnection_ = kj::READY_NOW;
  kj::ForkedPromise<void> Ready_;
};

Error toError(const kj::Exception &Failure, bool Sent,
              const PeerConnection &Connection) {
  Error Converted;
  Converted.Message_ = "peer " + Connection.address() + ": " +
                       std::string(Failure.getDescription().cStr());
  if (Connection.unauthenticated())
    Converted.Code_ = ErrorCode::Unauthenticated;
  else if (!Sent || Failure.getType() == kj::Exception::Type::OVERLOADED)
    Converted.Code_ = ErrorCode::Unavailable;
  else
    Converted.Code_ = ErrorCode::Ambiguous;
  return Converted;
}

} // namespace

/// State of the connections; used on the loop's thread only.
struct PeerClient::State {
  State(const PeerClientSettings &Settings, RpcLoop &Loop)
      : Settings_(Settings), Loop_(Loop),
        IdleCloser_(closeIdlePeriodically().eagerlyEvaluate(nullptr)) {}

  /// The connection to \p Address, opened if need be; null if the address is
  /// malformed.
  kj::Own<PeerConnection> connection(const std::string &Address) {
    auto Found = Connections_.find(Address);
    if (Found != Connections_.end() && Found->second->broken()) {
      Connections_.erase(Found);
      Found = Connections_.end();
    }
    if (Found == Connections_.end()) {
      auto Target = Loop_.parseAddress(Address);
      KJ_IF_MAYBE (NumericAddress, Target) {
        auto Connection = kj::refcounted<PeerConnection>(
            Address, Settings_, Loop_, kj::mv(*NumericAddress));
        Found = Connections_.emplace(Address, kj::mv(Connection)).first;
      } else {
        return {};
      }
    }
    return kj::addRef(*Found->second);
  }

  /// Lets later calls to the same address use a new connection.
  void retire(const PeerConnection &Connection) {
    auto Found = Connections_.find(Connection.address());
    if (Found != Connections_.end() && Found->second.get() == &Connection)
      Connections_.erase(Found);
  }

  template <typename T>
  kj::Promise<Expected<T>> call(const std::string &Address,
                                Milliseconds Timeout, Sender<T> Send) {
    auto Reference = connection(Address);
    if (Reference.get() == nullptr)
      return Expected<T>(
          Error{ErrorCode::Unavailable,
                "peer address is not a numeric IP:PORT: " + Address});
    PeerConnection &Connection = *Reference;
    auto Sent = std::make_shared<bool>(false);
    kj::Promise<T> Reply =
        Connection.ready().then([&Connection, Sent, Send = std::move(Send)]() {
          *Sent = true;
          return Send(Connection.peer());
        });
    return withTimeout<T>(Loop_.timer(), Timeout, kj::mv(Reply))
        .then(
            [&Connection](T Value) {
              Connection.LastUse_ = SteadyClock::now();
              return Expected<T>(std::move(Value));
            },
            [this, &Connection, Sent](kj::Exception &&Failure) {
              // A call that times out while the connection is still opening
              // keeps it for later calls; otherwise calls with a short time-out
              // would never reach a distant peer.
              const bool Refused =
                  Failure.getType() == kj::Exception::Type::OVERLOADED;
              if (!Refused && !Connection.opening())
                retire(Connection);
              return Expected<T>(toError(Failure, *Sent, Connection));
            })
        .attach(kj::mv(Reference));
  }

  kj::Promise<void> closeIdlePeriodically() {
    return Loop_.timer()
        .afterDelay(toDuration(Settings_.IdleLifetime_ / 2))
        .then([this] {
          closeIdle();
          return closeIdlePeriodically();
        });
  }

  void closeIdle() {
    const SteadyTime Oldest = SteadyClock::now() - Settings_.IdleLifetime_;
    std::erase_if(Connections_, [&](auto &Item) {
      return !Item.second->isShared() && Item.second->LastUse_ < Oldest;
    });
  }

  const PeerClientSettings &Settings_;
  RpcLoop &Loop_;
  std::map<std::string, kj::Own<PeerConnection>> Connections_;
  kj::Promise<void> IdleCloser_;
};

PeerClient::PeerClient(const PeerClientSettings &Settings, RpcLoop &Loop)
    : Settings_(Settings), Loop_(Loop) {
  assert(!Settings_.FleetSecret_.empty());
  Loop_.run([this] { State_ = std::make_unique<State>(Settings_, Loop_); });
}

PeerClient::~PeerClient() {
  Loop_.run([this] { State_.reset(); });
}

template <typename T>
Result<T> PeerClient::call(const std::string &Address, Milliseconds Timeout,
                           Sender<T> Send) {
  if (Timeout.count() <= 0)
    return fail(ErrorCode::Unavailable, "no time left for a call to a peer");
  Expected<T> Outcome = Loop_.run(
      [&] { return State_->call<T>(Address, Timeout, std::move(Send)); });
  if (!Outcome)
    return boost::leaf::new_error(Outcome.error());
  return std::move(Outcome.value());
}

std::size_t PeerClient::connectionCount() {
  return Loop_.run([this] { return State_->Connections_.size(); });
}

Result<Gossip> PeerClient::probe(const std::string &PeerAddress,
                                 const Gossip &OwnGossip,
                                 Milliseconds Timeout) {
  return call<Gossip>(PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
    auto Request = Peer.probeRequest();
    detail::encode(OwnGossip, Request.initMine());
    return Request.send().then([this](auto Reply) {
      return detail::decode(Reply.getYours(), Settings_.Limits_);
    });
  });
}

Result<bool> PeerClient::probeIndirect(const std::string &ViaAddress,
                                       const std::string &PeerAddress,
                                       Milliseconds Timeout) {
  return call<bool>(ViaAddress, Timeout, [&](wire::Peer::Client &Peer) {
    auto Request = Peer.probeIndirectRequest();
    Request.setPeerAddress(PeerAddress.c_str());
    return Request.send().then([](auto Reply) { return Reply.getAnswered(); });
  });
}

Result<RequestOutcome> PeerClient::forward(const std::string &PeerAddress,
                                           const ForwardedRequest &Request) {
  return call<RequestOutcome>(PeerAddress, Request.Timeout_,
                              [&](wire::Peer::Client &Peer) {
                                auto Message = Peer.forwardRequest();
                                detail::encode(Request, Message.initRequest());
                                return Message.send().then([](auto Reply) {
                                  return detail::decode(Reply.getOutcome());
                                });
                              });
}

Result<RequestOutcome> PeerClient::lookUp(const std::string &PeerAddress,
                                          const std::string &IdempotencyKey,
                                          Milliseconds Timeout) {
  return call<RequestOutcome>(
      PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
        auto Message = Peer.lookUpRequest();
        Message.setIdempotencyKey(IdempotencyKey.c_str());
        return Message.send().then(
            [](auto Reply) { return detail::decode(Reply.getOutcome()); });
      });
}

Result<std::vector<ServiceRevision>>
PeerClient::revisions(const std::string &PeerAddress, Milliseconds Timeout) {
  using Revisions = std::vector<ServiceRevision>;
  return call<Revisions>(PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
    return Peer.revisionsRequest().send().then([this](auto Reply) {
      return detail::decodeList<ServiceRevision>(Reply.getRevisions(),
                                                 Settings_.Limits_);
    });
  });
}

Result<std::vector<state::StoredDocument>>
PeerClient::documents(const std::string &PeerAddress,
                      const std::vector<std::string> &Names,
                      Milliseconds Timeout) {
  using Documents = std::vector<state::StoredDocument>;
  return call<Documents>(PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
    auto Request = Peer.documentsRequest();
    auto List = Request.initNames(Names.size());
    for (unsigned I = 0; I < List.size(); ++I)
      List.set(I, Names[I].c_str());
    return Request.send().then([this](auto Reply) {
      return detail::decodeList<state::StoredDocument>(Reply.getDocuments(),
                                                       Settings_.Limits_);
    });
  });
}

Result<void> PeerClient::pushDocument(const std::string &PeerAddress,
                                      const state::StoredDocument &Document,
                                      Milliseconds Timeout) {
  BOOST_LEAF_CHECK(
      call<Done>(PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
        auto Request = Peer.pushDocumentRequest();
        detail::encode(Document, Request.initDocument());
        return Request.send().then([](auto) { return Done{}; });
      }));
  return {};
}

Result<void> PeerClient::reportSuspect(const std::string &PeerAddress,
                                       const SuspectInput &Suspect,
                                       Milliseconds Timeout) {
  BOOST_LEAF_CHECK(
      call<Done>(PeerAddress, Timeout, [&](wire::Peer::Client &Peer) {
        auto Request = Peer.reportSuspectRequest();
        detail::encode(Suspect, Request.initSuspect());
        return Request.send().then([](auto) { return Done{}; });
      }));
  return {};
}

} // namespace amaranth::protocol
