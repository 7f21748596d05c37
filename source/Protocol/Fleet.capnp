@0x8e94939fd205a2a1;
# Messages between the entry hosts of a fleet on the platform. Each is sent over
# a TCP connection as its length, followed by the Cap'n Proto message.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranth::protocol::fleet");

struct FleetMessage {
  union {
    ping @0 :HostState;
    pong @1 :HostState;
    pieces @2 :List(Piece);
    outcomes @3 :List(Outcome);
    cancel @4 :Text;          # id of the request whose pieces are cancelled
    release @5 :List(Result); # results that are no longer needed
    records @6 :StoreRecords; # for hosts that do not watch the store
    suspects @7 :List(Suspect);
    suspectParts @8 :List(SuspectPart);
    targetNotice @9 :TargetNotice;
    permitRequest @10 :PermitRequest;
    permitReply @11 :PermitReply;
    paceReport @12 :PaceReport;
    # A ping or pong of a host that occupies much of an engine's memory. They
    # are messages of their own so that other pings do not grow.
    loadedPing @13 :LoadedHostState;
    loadedPong @14 :LoadedHostState;
    # Records in the platform's store; hosts do not send them to each other.
    serviceVersion @15 :ServiceVersion;
    streamVersions @16 :StreamVersions;
  }
}

struct HostState {
  host @0 :Text;
  dataCentre @1 :Text;
  callerAddress @2 :Text;
  peerAddress @3 :Text;
  incarnation @4 :UInt64;
  serving @5 :Bool;        # accepts requests; false while starting or draining
  storeConnected @6 :Bool;
  watching @7 :Bool;         # watches the store and has all its records
  digests @8 :List(UInt64);  # of the store's records, one for each prefix
  queues @9 :List(QueueState);       # of services that the host dispatches
  outstanding @10 :List(QueueState); # what the host's own requests still need
  linkMegabits @11 :Float64;
  processorShare @12 :Float64;  # in cores
  busyShare @13 :Float64;       # of processorShare, used over the last second
  callerNeeds @14 :List(CallerNeed); # that the host decides
}

struct CallerNeed {
  dataCentre @0 :Text;
  hosts @1 :UInt32;  # that the callers of the data centre need
}

struct LoadedHostState {
  state @0 :HostState;
  engines @1 :List(EngineTokens);
}

# What the host's own requests may hold at an engine.
struct EngineTokens {
  engine @0 :Text;
  tokens @1 :UInt64;
  requests @2 :UInt64;
}

struct QueueState {
  service @0 :Text;
  inTime @1 :List(UInt32);  # pieces that can meet their aim, by priority
  late @2 :List(UInt32);    # pieces that cannot meet their aim, by priority
  piecesPerSecond @3 :Float64;
  waiting @4 :List(UInt32); # pieces of requests not started, by priority
}

struct Piece {
  requestId @0 :Text;
  stage @1 :UInt32;
  piece @2 :UInt32;
  key @3 :Text;
  inputs @4 :List(Text);
  service @5 :Text;
  resultBytes @6 :UInt64;
  priority @7 :Int32;
  aimMs @8 :Int64;     # time left from sending
  expiryMs @9 :Int64;  # time left from sending
  dataCentre @10 :Text;
  repeat @11 :Bool;    # the piece has been ordered before
}

struct Outcome {
  requestId @0 :Text;
  stage @1 :UInt32;
  piece @2 :UInt32;
  end @3 :UInt16;
  handle @4 :Text;
}

struct Result {
  handle @0 :Text;
  service @1 :Text;
}

struct StoreRecords {
  prefix @0 :Text;
  records @1 :List(Record);
  complete @2 :Bool;    # records has all records as of the revision
  revision @3 :UInt64;
  era @4 :UInt64;       # of the store, for all records; 0 if it is not known
}

struct Record {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  removed @3 :Bool;
}

struct Suspect {
  digest @0 :Text;
  targets @1 :List(Text);  # ids of targets that crashed while they ran it
  cleared @2 :Bool;        # a target has completed it
  longestRunMs @3 :Int64;  # longest time that it had run when one crashed
}

struct SuspectPart {
  part @0 :Text;
  answered @1 :Bool;       # an engine has completed an answer with it
  cleared @2 :Bool;        # the crashes before this message do not count
  crashes @3 :List(Crash);
  trials @4 :UInt32;           # requests tried since the last answer
  lastAttemptAgeMs @5 :Int64;  # time since the last trial or crash
}

struct Crash {
  engine @0 :Text;
  ageMs @1 :Int64;         # time since the crash
}

# What a target has stated about the requests that it accepts from all hosts.
struct TargetNotice {
  target @0 :Text;
  isLimited @1 :Bool;
  perSecond @2 :Float64;   # 0 if it is not limited
  incarnation @3 :Int64;   # of the target's process
  isLeaving @4 :Bool;
  hasColdTime @5 :Bool;
  coldMs @6 :Int64;        # time left from sending; 0 if it is not cold
}

# Asks the host that schedules the requests for a limited or paced target for a
# place.
struct PermitRequest {
  id @0 :UInt64;           # chosen by the asking host
  target @1 :Text;
  perSecond @2 :Float64;   # the limit as the asking host knows it
  maxDelayMs @3 :Int64;    # a place that is later is of no use
  unlimited @4 :Bool;      # the target states no limit; perSecond is 0
  paced @5 :Bool;          # the fields below are set
  cost @6 :Float64;        # in average requests
  knownPerSecond @7 :Float64; # rate that the asking host was told; 0 if none
  pacedForMs @8 :Int64;    # time since the asking host has had it paced
  coldForMs @9 :Int64;     # time for which the target is still cold
  coldPerSecond @10 :Float64; # rate that it accepts for that time; 0 if not cold
}

struct PermitReply {
  id @0 :UInt64;
  granted @1 :Bool;
  delayUs @2 :Int64;       # time until the place that is granted, or the next one
  notElected @3 :Bool;     # the replying host knows another one for the target
  paced @4 :Bool;
  pacePerSecond @5 :Float64; # allowed rate of a paced target
}

# How a paced target responded to a request.
struct PaceReport {
  target @0 :Text;
  outcome @1 :UInt16;
}

# A version of a service's software that is, or was until recently, in service.
struct ServiceVersion {
  service @0 :Text;
  version @1 :Text;
}

# Streams that one host began, with the versions that began them.
struct StreamVersions {
  versions @0 :List(Text);
  streams @1 :List(UInt64);  # hashes of service and request id
  indexes @2 :List(UInt16);  # of each stream in versions
}
