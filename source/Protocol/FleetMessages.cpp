#include "Protocol/FleetMessages.h"

#include "Protocol/Fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace amaranth::protocol {

namespace {

std::string text(capnp::Text::Reader From) {
  return std::string(From.begin(), From.size());
}

kj::ArrayPtr<const kj::byte> bytes(const std::string &From) {
  return {reinterpret_cast<const kj::byte *>(From.data()), From.size()};
}

void write(const HostState &From, fleet::HostState::Builder To) {
  To.setHost(From.Host_);
  To.setDataCentre(From.DataCentre_);
  To.setCallerAddress(From.CallerAddress_);
  To.setPeerAddress(From.PeerAddress_);
  To.setIncarnation(From.Incarnation_);
  To.setServing(From.Serving_);
  To.setStoreConnected(From.StoreConnected_);
  To.setWatching(From.Watching_);
  auto Digests = To.initDigests(From.Digests_.size());
  for (unsigned I = 0; I < From.Digests_.size(); ++I)
    Digests.set(I, From.Digests_[I]);
  auto Queues = To.initQueues(From.Queues_.size());
  for (unsigned I = 0; I < From.Queues_.size(); ++I) {
    Queues[I].setService(From.Queues_[I].Service_);
    const QueueState &Queue = From.Queues_[I];
    auto InTime = Queues[I].initInTime(Queue.InTime_.size());
    for (unsigned J = 0; J < Queue.InTime_.size(); ++J)
      InTime.set(J, Queue.InTime_[J]);
    Queues[I].setLate(Queue.Late_);
    Queues[I].setPiecesPerSecond(Queue.PiecesPerSecond_);
  }
}

HostState read(fleet::HostState::Reader From) {
  HostState To;
  To.Host_ = text(From.getHost());
  To.DataCentre_ = text(From.getDataCentre());
  To.CallerAddress_ = text(From.getCallerAddress());
  To.PeerAddress_ = text(From.getPeerAddress());
  To.Incarnation_ = From.getIncarnation();
  To.Serving_ = From.getServing();
  To.StoreConnected_ = From.getStoreConnected();
  To.Watching_ = From.getWatching();
  for (std::uint64_t Digest : From.getDigests())
    To.Digests_.push_back(Digest);
  for (auto Queue : From.getQueues()) {
    QueueState Read;
    Read.Service_ = text(Queue.getService());
    for (std::uint32_t Waiting : Queue.getInTime())
      Read.InTime_.push_back(Waiting);
    Read.Late_ = Queue.getLate();
    Read.PiecesPerSecond_ = Queue.getPiecesPerSecond();
    To.Queues_.push_back(std::move(Read));
  }
  return To;
}

void write(const PieceOrder &From, fleet::Piece::Builder To) {
  To.setRequestId(From.Piece_.RequestId_);
  To.setStage(static_cast<std::uint32_t>(From.Piece_.Stage_));
  To.setPiece(static_cast<std::uint32_t>(From.Piece_.Piece_));
  To.setKey(From.Piece_.Key_);
  auto Inputs = To.initInputs(From.Piece_.Inputs_.size());
  for (unsigned I = 0; I < From.Piece_.Inputs_.size(); ++I)
    Inputs.set(I, From.Piece_.Inputs_[I]);
  To.setService(From.Service_);
  To.setResultBytes(From.ResultBytes_);
  To.setPriority(From.Priority_);
  To.setAimMs(From.AimLeft_.count());
  To.setExpiryMs(From.ExpiryLeft_.count());
  To.setDataCentre(From.DataCentre_);
  To.setRepeat(From.Repeat_);
}

PieceOrder read(fleet::Piece::Reader From) {
  PieceOrder To;
  To.Piece_.RequestId_ = text(From.getRequestId());
  To.Piece_.Stage_ = From.getStage();
  To.Piece_.Piece_ = From.getPiece();
  To.Piece_.Key_ = text(From.getKey());
  for (auto Input : From.getInputs())
    To.Piece_.Inputs_.push_back(text(Input));
  To.Service_ = text(From.getService());
  To.ResultBytes_ = From.getResultBytes();
  To.Priority_ = From.getPriority();
  To.AimLeft_ = Milliseconds(From.getAimMs());
  To.ExpiryLeft_ = Milliseconds(From.getExpiryMs());
  To.DataCentre_ = text(From.getDataCentre());
  To.Repeat_ = From.getRepeat();
  return To;
}

void write(const PieceReport &From, fleet::Outcome::Builder To) {
  To.setRequestId(From.RequestId_);
  To.setStage(static_cast<std::uint32_t>(From.Stage_));
  To.setPiece(static_cast<std::uint32_t>(From.Piece_));
  To.setEnd(static_cast<std::uint16_t>(From.Outcome_.End_));
  To.setHandle(From.Outcome_.Handle_);
}

PieceReport read(fleet::Outcome::Reader From) {
  PieceReport To;
  To.RequestId_ = text(From.getRequestId());
  To.Stage_ = From.getStage();
  To.Piece_ = From.getPiece();
  auto End = static_cast<PieceEnd>(From.getEnd());
  To.Outcome_.End_ = End <= PieceEnd::InputsRead ? End : PieceEnd::Failed;
  To.Outcome_.Handle_ = text(From.getHandle());
  return To;
}

void write(const StoreItem &From, fleet::Record::Builder To) {
  To.setKey(From.Key_);
  To.setValue(bytes(From.Value_));
  To.setRevision(From.Revision_);
  To.setRemoved(From.Removed_);
}

StoreItem read(fleet::Record::Reader From) {
  StoreItem To;
  To.Key_ = text(From.getKey());
  auto Value = From.getValue();
  To.Value_.assign(reinterpret_cast<const char *>(Value.begin()), Value.size());
  To.Revision_ = From.getRevision();
  To.Removed_ = From.getRemoved();
  return To;
}

/// Fills the union member of each message type.
struct Writer {
  fleet::FleetMessage::Builder To_;

  void operator()(const Ping &From) { write(From.State_, To_.initPing()); }
  void operator()(const Pong &From) { write(From.State_, To_.initPong()); }
  void operator()(const PieceOrders &From) {
    auto List = To_.initPieces(From.Orders_.size());
    for (unsigned I = 0; I < From.Orders_.size(); ++I)
      write(From.Orders_[I], List[I]);
  }
  void operator()(const PieceReports &From) {
    auto List = To_.initOutcomes(From.Reports_.size());
    for (unsigned I = 0; I < From.Reports_.size(); ++I)
      write(From.Reports_[I], List[I]);
  }
  void operator()(const CancelPieces &From) { To_.setCancel(From.RequestId_); }
  void operator()(const ReleaseResults &From) {
    auto List = To_.initRelease(From.Results_.size());
    for (unsigned I = 0; I < From.Results_.size(); ++I) {
      List[I].setHandle(From.Results_[I].Handle_);
      List[I].setService(From.Results_[I].Service_);
    }
  }
  void operator()(const StoreRecords &From) {
    auto Out = To_.initRecords();
    Out.setPrefix(From.Prefix_);
    Out.setComplete(From.Complete_);
    Out.setRevision(From.Revision_);
    auto List = Out.initRecords(From.Items_.size());
    for (unsigned I = 0; I < From.Items_.size(); ++I)
      write(From.Items_[I], List[I]);
  }
  void operator()(const SuspectRequests &From) {
    auto List = To_.initSuspects(From.Inputs_.size());
    for (unsigned I = 0; I < From.Inputs_.size(); ++I) {
      const SuspectInput &Input = From.Inputs_[I];
      List[I].setDigest(Input.Digest_);
      List[I].setCleared(Input.Cleared_);
      List[I].setLongestRunMs(Input.LongestRun_.count());
      auto Targets = List[I].initTargets(Input.CrashedTargets_.size());
      for (unsigned J = 0; J < Input.CrashedTargets_.size(); ++J)
        Targets.set(J, Input.CrashedTargets_[J]);
    }
  }
};

SuspectRequests
readSuspects(capnp::List<fleet::Suspect, capnp::Kind::STRUCT>::Reader List) {
  SuspectRequests Out;
  for (auto One : List) {
    SuspectInput Input;
    Input.Digest_ = text(One.getDigest());
    Input.Cleared_ = One.getCleared();
    Input.LongestRun_ = Milliseconds(One.getLongestRunMs());
    for (auto Target : One.getTargets())
      Input.CrashedTargets_.push_back(text(Target));
    Out.Inputs_.push_back(std::move(Input));
  }
  return Out;
}

std::optional<FleetMessage> read(fleet::FleetMessage::Reader From) {
  using Which = fleet::FleetMessage::Which;
  switch (From.which()) {
  case Which::PING:
    return Ping{read(From.getPing())};
  case Which::PONG:
    return Pong{read(From.getPong())};
  case Which::PIECES: {
    PieceOrders Out;
    for (auto One : From.getPieces())
      Out.Orders_.push_back(read(One));
    return Out;
  }
  case Which::OUTCOMES: {
    PieceReports Out;
    for (auto One : From.getOutcomes())
      Out.Reports_.push_back(read(One));
    return Out;
  }
  case Which::CANCEL:
    return CancelPieces{text(From.getCancel())};
  case Which::RELEASE: {
    ReleaseResults Out;
    for (auto One : From.getRelease())
      Out.Results_.push_back({text(One.getHandle()), text(One.getService())});
    return Out;
  }
  case Which::RECORDS: {
    auto Records = From.getRecords();
    StoreRecords Out;
    Out.Prefix_ = text(Records.getPrefix());
    Out.Complete_ = Records.getComplete();
    Out.Revision_ = Records.getRevision();
    for (auto One : Records.getRecords())
      Out.Items_.push_back(read(One));
    return Out;
  }
  case Which::SUSPECTS:
    return readSuspects(From.getSuspects());
  }
  return std::nullopt;
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  Writer Visitor{Builder.initRoot<fleet::FleetMessage>()};
  std::visit(Visitor, Message);
  kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  auto Bytes = Words.asBytes();
  return std::string(reinterpret_cast<const char *>(Bytes.begin()),
                     Bytes.size());
}

std::optional<FleetMessage> decodeFleetMessage(const std::string &Bytes) {
  std::optional<FleetMessage> Out;
  kj::Maybe<kj::Exception> Failure = kj::runCatchingExceptions([&] {
    // The reader needs aligned words.
    kj::Array<capnp::word> Words =
        kj::heapArray<capnp::word>(Bytes.size() / sizeof(capnp::word));
    std::memcpy(Words.begin(), Bytes.data(),
                Words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader Reader(Words);
    Out = read(Reader.getRoot<fleet::FleetMessage>());
  });
  if (Failure != nullptr)
    return std::nullopt;
  return Out;
}

} // namespace amaranth::protocol
