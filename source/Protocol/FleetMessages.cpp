#include "Protocol/FleetMessages.h"

#include "Protocol/Fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace amaranth::protocol {

namespace {

std::string text(capnp::Text::Reader Source) {
  return std::string(Source.begin(), Source.size());
}

kj::ArrayPtr<const kj::byte> bytes(const std::string &Source) {
  return {reinterpret_cast<const kj::byte *>(Source.data()), Source.size()};
}

void write(const std::vector<std::uint32_t> &Source,
           capnp::List<std::uint32_t>::Builder Builder) {
  for (unsigned I = 0; I < Source.size(); ++I)
    Builder.set(I, Source[I]);
}

void write(const QueueState &Source, fleet::QueueState::Builder Builder) {
  Builder.setService(Source.Service_);
  write(Source.InTime_, Builder.initInTime(Source.InTime_.size()));
  write(Source.Late_, Builder.initLate(Source.Late_.size()));
  write(Source.Waiting_, Builder.initWaiting(Source.Waiting_.size()));
  Builder.setPiecesPerSecond(Source.PiecesPerSecond_);
}

std::vector<std::uint32_t> read(capnp::List<std::uint32_t>::Reader Source) {
  std::vector<std::uint32_t> Decoded;
  for (std::uint32_t Value : Source)
    Decoded.push_back(Value);
  return Decoded;
}

QueueState read(fleet::QueueState::Reader Source) {
  QueueState Decoded;
  Decoded.Service_ = text(Source.getService());
  Decoded.InTime_ = read(Source.getInTime());
  Decoded.Late_ = read(Source.getLate());
  Decoded.Waiting_ = read(Source.getWaiting());
  Decoded.PiecesPerSecond_ = Source.getPiecesPerSecond();
  return Decoded;
}

void write(const HostState &Source, fleet::HostState::Builder Builder) {
  Builder.setHost(Source.Host_);
  Builder.setDataCentre(Source.DataCentre_);
  Builder.setCallerAddress(Source.CallerAddress_);
  Builder.setPeerAddress(Source.PeerAddress_);
  Builder.setIncarnation(Source.Incarnation_);
  Builder.setServing(Source.Serving_);
  Builder.setStoreConnected(Source.StoreConnected_);
  Builder.setWatching(Source.ReadsStore_);
  auto Digests = Builder.initDigests(Source.Digests_.size());
  for (unsigned I = 0; I < Source.Digests_.size(); ++I)
    Digests.set(I, Source.Digests_[I]);
  auto Queues = Builder.initQueues(Source.Queues_.size());
  for (unsigned I = 0; I < Source.Queues_.size(); ++I)
    write(Source.Queues_[I], Queues[I]);
  Builder.setLinkMegabits(Source.LinkMegabits_);
  auto Outstanding = Builder.initOutstanding(Source.Outstanding_.size());
  for (unsigned I = 0; I < Source.Outstanding_.size(); ++I)
    write(Source.Outstanding_[I], Outstanding[I]);
  Builder.setProcessorShare(Source.ProcessorShare_);
  Builder.setBusyShare(Source.BusyShare_);
  auto Needs = Builder.initCallerNeeds(Source.CallerNeeds_.size());
  for (unsigned I = 0; I < Source.CallerNeeds_.size(); ++I) {
    Needs[I].setDataCentre(Source.CallerNeeds_[I].DataCentre_);
    Needs[I].setHosts(Source.CallerNeeds_[I].Hosts_);
  }
}

void write(const HostState &Source, fleet::LoadedHostState::Builder Builder) {
  write(Source, Builder.initState());
  auto Engines = Builder.initEngines(Source.Engines_.size());
  for (unsigned I = 0; I < Source.Engines_.size(); ++I) {
    Engines[I].setEngine(Source.Engines_[I].Engine_);
    Engines[I].setTokens(Source.Engines_[I].Tokens_);
    Engines[I].setRequests(Source.Engines_[I].Requests_);
  }
}

HostState read(fleet::HostState::Reader Source) {
  HostState Decoded;
  Decoded.Host_ = text(Source.getHost());
  Decoded.DataCentre_ = text(Source.getDataCentre());
  Decoded.CallerAddress_ = text(Source.getCallerAddress());
  Decoded.PeerAddress_ = text(Source.getPeerAddress());
  Decoded.Incarnation_ = Source.getIncarnation();
  Decoded.Serving_ = Source.getServing();
  Decoded.StoreConnected_ = Source.getStoreConnected();
  Decoded.ReadsStore_ = Source.getWatching();
  Decoded.LinkMegabits_ = Source.getLinkMegabits();
  for (std::uint64_t Digest : Source.getDigests())
    Decoded.Digests_.push_back(Digest);
  for (auto Queue : Source.getQueues())
    Decoded.Queues_.push_back(read(Queue));
  for (auto Queue : Source.getOutstanding())
    Decoded.Outstanding_.push_back(read(Queue));
  Decoded.ProcessorShare_ = Source.getProcessorShare();
  Decoded.BusyShare_ = Source.getBusyShare();
  for (auto Need : Source.getCallerNeeds())
    Decoded.CallerNeeds_.push_back(
        {text(Need.getDataCentre()), Need.getHosts()});
  return Decoded;
}

HostState read(fleet::LoadedHostState::Reader Source) {
  HostState Decoded = read(Source.getState());
  for (auto Engine : Source.getEngines())
    Decoded.Engines_.push_back(
        {text(Engine.getEngine()), Engine.getTokens(), Engine.getRequests()});
  return Decoded;
}

void write(const PieceOrder &Source, fleet::Piece::Builder Builder) {
  Builder.setRequestId(Source.Piece_.RequestId_);
  Builder.setStage(static_cast<std::uint32_t>(Source.Piece_.Stage_));
  Builder.setPiece(static_cast<std::uint32_t>(Source.Piece_.Piece_));
  Builder.setKey(Source.Piece_.Key_);
  auto Inputs = Builder.initInputs(Source.Piece_.Inputs_.size());
  for (unsigned I = 0; I < Source.Piece_.Inputs_.size(); ++I)
    Inputs.set(I, Source.Piece_.Inputs_[I]);
  Builder.setService(Source.Service_);
  Builder.setResultBytes(Source.ResultBytes_);
  Builder.setPriority(Source.Priority_);
  Builder.setAimMs(Source.AimLeft_.count());
  Builder.setExpiryMs(Source.ExpiryLeft_.count());
  Builder.setDataCentre(Source.DataCentre_);
  Builder.setRepeat(Source.Repeat_);
}

PieceOrder read(fleet::Piece::Reader Source) {
  PieceOrder Decoded;
  Decoded.Piece_.RequestId_ = text(Source.getRequestId());
  Decoded.Piece_.Stage_ = Source.getStage();
  Decoded.Piece_.Piece_ = Source.getPiece();
  Decoded.Piece_.Key_ = text(Source.getKey());
  for (auto Input : Source.getInputs())
    Decoded.Piece_.Inputs_.push_back(text(Input));
  Decoded.Service_ = text(Source.getService());
  Decoded.ResultBytes_ = Source.getResultBytes();
  Decoded.Priority_ = Source.getPriority();
  Decoded.AimLeft_ = Milliseconds(Source.getAimMs());
  Decoded.ExpiryLeft_ = Milliseconds(Source.getExpiryMs());
  Decoded.DataCentre_ = text(Source.getDataCentre());
  Decoded.Repeat_ = Source.getRepeat();
  return Decoded;
}

void write(const PieceReport &Source, fleet::Outcome::Builder Builder) {
  Builder.setRequestId(Source.RequestId_);
  Builder.setStage(static_cast<std::uint32_t>(Source.Stage_));
  Builder.setPiece(static_cast<std::uint32_t>(Source.Piece_));
  Builder.setEnd(static_cast<std::uint16_t>(Source.Outcome_.Status_));
  Builder.setHandle(Source.Outcome_.Handle_);
}

PieceReport read(fleet::Outcome::Reader Source) {
  PieceReport Decoded;
  Decoded.RequestId_ = text(Source.getRequestId());
  Decoded.Stage_ = Source.getStage();
  Decoded.Piece_ = Source.getPiece();
  auto Status = static_cast<PieceStatus>(Source.getEnd());
  Decoded.Outcome_.Status_ =
      Status <= PieceStatus::InputsRead ? Status : PieceStatus::Failed;
  Decoded.Outcome_.Handle_ = text(Source.getHandle());
  return Decoded;
}

void write(const StoreItem &Source, fleet::Record::Builder Builder) {
  Builder.setKey(Source.Key_);
  Builder.setValue(bytes(Source.Value_));
  Builder.setRevision(Source.Revision_);
  Builder.setRemoved(Source.Removed_);
}

StoreItem read(fleet::Record::Reader Source) {
  StoreItem Decoded;
  Decoded.Key_ = text(Source.getKey());
  auto Value = Source.getValue();
  Decoded.Value_.assign(reinterpret_cast<const char *>(Value.begin()),
                        Value.size());
  Decoded.Revision_ = Source.getRevision();
  Decoded.Removed_ = Source.getRemoved();
  return Decoded;
}

/// Fills the union member of each message type.
struct Writer {
  fleet::FleetMessage::Builder Builder_;

  void operator()(const Ping &Source) {
    if (Source.State_.Engines_.empty())
      write(Source.State_, Builder_.initPing());
    else
      write(Source.State_, Builder_.initLoadedPing());
  }
  void operator()(const Pong &Source) {
    if (Source.State_.Engines_.empty())
      write(Source.State_, Builder_.initPong());
    else
      write(Source.State_, Builder_.initLoadedPong());
  }
  void operator()(const PieceOrders &Source) {
    auto List = Builder_.initPieces(Source.Orders_.size());
    for (unsigned I = 0; I < Source.Orders_.size(); ++I)
      write(Source.Orders_[I], List[I]);
  }
  void operator()(const PieceReports &Source) {
    auto List = Builder_.initOutcomes(Source.Reports_.size());
    for (unsigned I = 0; I < Source.Reports_.size(); ++I)
      write(Source.Reports_[I], List[I]);
  }
  void operator()(const CancelPieces &Source) {
    Builder_.setCancel(Source.RequestId_);
  }
  void operator()(const ReleaseResults &Source) {
    auto List = Builder_.initRelease(Source.Results_.size());
    for (unsigned I = 0; I < Source.Results_.size(); ++I) {
      List[I].setHandle(Source.Results_[I].Handle_);
      List[I].setService(Source.Results_[I].Service_);
    }
  }
  void operator()(const StoreRecords &Source) {
    auto Encoded = Builder_.initRecords();
    Encoded.setPrefix(Source.Prefix_);
    Encoded.setComplete(Source.Complete_);
    Encoded.setRevision(Source.Revision_);
    Encoded.setEra(Source.Era_);
    auto List = Encoded.initRecords(Source.Items_.size());
    for (unsigned I = 0; I < Source.Items_.size(); ++I)
      write(Source.Items_[I], List[I]);
  }
  void operator()(const SuspectRequests &Source) {
    auto List = Builder_.initSuspects(Source.Inputs_.size());
    for (unsigned I = 0; I < Source.Inputs_.size(); ++I) {
      const SuspectInput &Input = Source.Inputs_[I];
      List[I].setDigest(Input.Digest_);
      List[I].setCleared(Input.Cleared_);
      List[I].setLongestRunMs(Input.LongestRun_.count());
      auto Targets = List[I].initTargets(Input.CrashedTargets_.size());
      for (unsigned J = 0; J < Input.CrashedTargets_.size(); ++J)
        Targets.set(J, Input.CrashedTargets_[J]);
    }
  }
  void operator()(const SuspectParts &Source) {
    auto List = Builder_.initSuspectParts(Source.Parts_.size());
    for (unsigned I = 0; I < Source.Parts_.size(); ++I) {
      const SuspectPart &Part = Source.Parts_[I];
      List[I].setPart(Part.Id_);
      List[I].setAnswered(Part.Answered_);
      List[I].setCleared(Part.Cleared_);
      auto Crashes = List[I].initCrashes(Part.Crashes_.size());
      for (unsigned J = 0; J < Part.Crashes_.size(); ++J) {
        Crashes[J].setEngine(Part.Crashes_[J].Engine_);
        Crashes[J].setAgeMs(Part.Crashes_[J].Age_.count());
      }
      List[I].setTrials(Part.Trials_);
      List[I].setLastAttemptAgeMs(Part.LastAttemptAge_.count());
    }
  }
  void operator()(const ServiceVersion &Source) {
    auto Encoded = Builder_.initServiceVersion();
    Encoded.setService(Source.Service_);
    Encoded.setVersion(Source.Version_);
  }
  void operator()(const StreamVersions &Source) {
    auto Encoded = Builder_.initStreamVersions();
    auto Versions = Encoded.initVersions(Source.Versions_.size());
    for (unsigned I = 0; I < Source.Versions_.size(); ++I)
      Versions.set(I, Source.Versions_[I]);
    auto Streams = Encoded.initStreams(Source.Streams_.size());
    auto Indexes = Encoded.initIndexes(Source.Streams_.size());
    for (unsigned I = 0; I < Source.Streams_.size(); ++I) {
      Streams.set(I, Source.Streams_[I].Stream_);
      Indexes.set(I, static_cast<std::uint16_t>(Source.Streams_[I].Version_));
    }
  }
  void operator()(const TargetNotice &Source) {
    auto Encoded = Builder_.initTargetNotice();
    Encoded.setTarget(Source.Target_);
    Encoded.setIsLimited(Source.PerSecond_.has_value());
    Encoded.setPerSecond(Source.PerSecond_.value_or(0));
    Encoded.setIncarnation(Source.Incarnation_);
    Encoded.setIsLeaving(Source.IsLeaving_);
    Encoded.setHasColdTime(Source.ColdFor_.has_value());
    Encoded.setColdMs(Source.ColdFor_.value_or(Milliseconds(0)).count());
  }
  void operator()(const PermitRequest &Source) {
    auto Encoded = Builder_.initPermitRequest();
    Encoded.setId(Source.Id_);
    Encoded.setTarget(Source.Target_);
    Encoded.setPerSecond(Source.PerSecond_.value_or(0));
    Encoded.setUnlimited(!Source.PerSecond_);
    Encoded.setMaxDelayMs(Source.MaxDelay_.count());
    if (!Source.Pace_)
      return;
    Encoded.setPaced(true);
    Encoded.setCost(Source.Pace_->Cost_);
    Encoded.setKnownPerSecond(Source.Pace_->KnownPerSecond_);
    Encoded.setPacedForMs(Source.Pace_->PacedFor_.count());
    Encoded.setColdForMs(Source.Pace_->ColdFor_.count());
    Encoded.setColdPerSecond(Source.Pace_->ColdPerSecond_);
  }
  void operator()(const PermitReply &Source) {
    auto Encoded = Builder_.initPermitReply();
    Encoded.setId(Source.Id_);
    Encoded.setGranted(Source.Granted_);
    Encoded.setDelayUs(Source.Delay_.count());
    Encoded.setNotElected(Source.NotElected_);
    Encoded.setPaced(Source.IsPaced_);
    Encoded.setPacePerSecond(Source.PacePerSecond_);
  }
  void operator()(const PaceReport &Source) {
    auto Encoded = Builder_.initPaceReport();
    Encoded.setTarget(Source.Target_);
    Encoded.setOutcome(static_cast<std::uint16_t>(Source.Outcome_));
  }
};

TargetNotice read(fleet::TargetNotice::Reader Source) {
  TargetNotice Decoded;
  Decoded.Target_ = text(Source.getTarget());
  if (Source.getIsLimited())
    Decoded.PerSecond_ = Source.getPerSecond();
  Decoded.Incarnation_ = Source.getIncarnation();
  Decoded.IsLeaving_ = Source.getIsLeaving();
  if (Source.getHasColdTime())
    Decoded.ColdFor_ = Milliseconds(Source.getColdMs());
  return Decoded;
}

PermitRequest read(fleet::PermitRequest::Reader Source) {
  PermitRequest Decoded;
  Decoded.Id_ = Source.getId();
  Decoded.Target_ = text(Source.getTarget());
  if (!Source.getUnlimited())
    Decoded.PerSecond_ = Source.getPerSecond();
  Decoded.MaxDelay_ = Milliseconds(Source.getMaxDelayMs());
  if (Source.getPaced())
    Decoded.Pace_ = PaceState{Source.getCost(), Source.getKnownPerSecond(),
                              Milliseconds(Source.getPacedForMs()),
                              Milliseconds(Source.getColdForMs()),
                              Source.getColdPerSecond()};
  return Decoded;
}

PermitReply read(fleet::PermitReply::Reader Source) {
  return {Source.getId(),
          Source.getGranted(),
          Microseconds(Source.getDelayUs()),
          Source.getNotElected(),
          Source.getPaced(),
          Source.getPacePerSecond()};
}

PaceReport read(fleet::PaceReport::Reader Source) {
  PaceReport Decoded;
  Decoded.Target_ = text(Source.getTarget());
  auto Outcome = static_cast<PaceOutcome>(Source.getOutcome());
  Decoded.Outcome_ =
      Outcome <= PaceOutcome::Failed ? Outcome : PaceOutcome::Failed;
  return Decoded;
}

SuspectRequests
readSuspects(capnp::List<fleet::Suspect, capnp::Kind::STRUCT>::Reader List) {
  SuspectRequests Decoded;
  for (auto Suspect : List) {
    SuspectInput Input;
    Input.Digest_ = text(Suspect.getDigest());
    Input.Cleared_ = Suspect.getCleared();
    Input.LongestRun_ = Milliseconds(Suspect.getLongestRunMs());
    for (auto Target : Suspect.getTargets())
      Input.CrashedTargets_.push_back(text(Target));
    Decoded.Inputs_.push_back(std::move(Input));
  }
  return Decoded;
}

SuspectParts readSuspectParts(
    capnp::List<fleet::SuspectPart, capnp::Kind::STRUCT>::Reader List) {
  SuspectParts Decoded;
  for (auto Source : List) {
    SuspectPart Part;
    Part.Id_ = text(Source.getPart());
    Part.Answered_ = Source.getAnswered();
    Part.Cleared_ = Source.getCleared();
    Part.Trials_ = Source.getTrials();
    Part.LastAttemptAge_ = Milliseconds(Source.getLastAttemptAgeMs());
    for (auto Crash : Source.getCrashes())
      Part.Crashes_.push_back(
          {text(Crash.getEngine()), Milliseconds(Crash.getAgeMs())});
    Decoded.Parts_.push_back(std::move(Part));
  }
  return Decoded;
}

std::optional<FleetMessage> read(fleet::StreamVersions::Reader Source) {
  StreamVersions Decoded;
  for (auto Version : Source.getVersions())
    Decoded.Versions_.push_back(text(Version));
  auto Streams = Source.getStreams();
  auto Indexes = Source.getIndexes();
  if (Streams.size() != Indexes.size())
    return std::nullopt;
  for (unsigned I = 0; I < Streams.size(); ++I) {
    if (Indexes[I] >= Decoded.Versions_.size())
      return std::nullopt;
    Decoded.Streams_.push_back({Streams[I], Indexes[I]});
  }
  return Decoded;
}

std::optional<FleetMessage> read(fleet::FleetMessage::Reader Source) {
  using Which = fleet::FleetMessage::Which;
  switch (Source.which()) {
  case Which::PING:
    return Ping{read(Source.getPing())};
  case Which::PONG:
    return Pong{read(Source.getPong())};
  case Which::LOADED_PING:
    return Ping{read(Source.getLoadedPing())};
  case Which::LOADED_PONG:
    return Pong{read(Source.getLoadedPong())};
  case Which::PIECES: {
    PieceOrders Decoded;
    for (auto Piece : Source.getPieces())
      Decoded.Orders_.push_back(read(Piece));
    return Decoded;
  }
  case Which::OUTCOMES: {
    PieceReports Decoded;
    for (auto Outcome : Source.getOutcomes())
      Decoded.Reports_.push_back(read(Outcome));
    return Decoded;
  }
  case Which::CANCEL:
    return CancelPieces{text(Source.getCancel())};
  case Which::RELEASE: {
    ReleaseResults Decoded;
    for (auto Result : Source.getRelease())
      Decoded.Results_.push_back(
          {text(Result.getHandle()), text(Result.getService())});
    return Decoded;
  }
  case Which::RECORDS: {
    auto Records = Source.getRecords();
    StoreRecords Decoded;
    Decoded.Prefix_ = text(Records.getPrefix());
    Decoded.Complete_ = Records.getComplete();
    Decoded.Revision_ = Records.getRevision();
    Decoded.Era_ = Records.getEra();
    for (auto Record : Records.getRecords()) {
      Decoded.Items_.push_back(read(Record));
      Decoded.Items_.back().Era_ = Decoded.Era_;
    }
    return Decoded;
  }
  case Which::SUSPECTS:
    return readSuspects(Source.getSuspects());
  case Which::SUSPECT_PARTS:
    return readSuspectParts(Source.getSuspectParts());
  case Which::TARGET_NOTICE:
    return read(Source.getTargetNotice());
  case Which::PERMIT_REQUEST:
    return read(Source.getPermitRequest());
  case Which::PERMIT_REPLY:
    return read(Source.getPermitReply());
  case Which::PACE_REPORT:
    return read(Source.getPaceReport());
  case Which::SERVICE_VERSION: {
    auto Record = Source.getServiceVersion();
    return ServiceVersion{text(Record.getService()), text(Record.getVersion())};
  }
  case Which::STREAM_VERSIONS:
    return read(Source.getStreamVersions());
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
  std::optional<FleetMessage> Decoded;
  kj::Maybe<kj::Exception> Failure = kj::runCatchingExceptions([&] {
    // The reader needs word-aligned data.
    kj::Array<capnp::word> Words =
        kj::heapArray<capnp::word>(Bytes.size() / sizeof(capnp::word));
    std::memcpy(Words.begin(), Bytes.data(),
                Words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader Reader(Words);
    Decoded = read(Reader.getRoot<fleet::FleetMessage>());
  });
  if (Failure != nullptr)
    return std::nullopt;
  return Decoded;
}

} // namespace amaranth::protocol
