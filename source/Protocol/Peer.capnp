# Encoding of the calls between daemons; Protocol/PeerMessages.h documents the
# fields. `scripts/generate` writes Peer.capnp.h and Peer.capnp.c++.
@0xb7c1f6d0a4e35921;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("amaranth::protocol::wire");

struct Member {
  host @0 :Text;
  dataCentre @1 :Text;
  callerAddress @2 :Text;
  peerAddress @3 :Text;
  incarnation @4 :UInt64;
  refutation @5 :UInt32;
  status @6 :UInt8;
  load @7 :Float64;
}

struct ServiceRevision {
  name @0 :Text;
  revision @1 :UInt64;
}

struct AccountUsage {
  service @0 :Text;
  account @1 :Text;
  requestsPerSecond @2 :Float64;
}

struct SuspectInput {
  digest @0 :Text;
  crashedTargets @1 :List(Text);
  cleared @2 :Bool;
  longestRunMs @3 :Int64;  # longest time that it had run when one crashed
}

struct Gossip {
  sender @0 :Member;
  updates @1 :List(Member);
  configurationDigest @2 :Text;
  usage @3 :List(AccountUsage);
  suspects @4 :List(SuspectInput);
}

struct ForwardedRequest {
  service @0 :Text;
  account @1 :Text;
  call @2 :Text;
  idempotencyKey @3 :Text;
  requestId @4 :Text;
  traceParent @5 :Text;
  body @6 :Data;
  timeoutMs @7 :UInt32;
}

struct RequestOutcome {
  kind @0 :UInt8;
  status @1 :UInt16;
  body @2 :Data;
  detail @3 :Text;
  homeAddress @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct Document {
  name @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  changeId @3 :Text;
  text @4 :Text;
}

interface Peer {
  probe @0 (mine :Gossip) -> (yours :Gossip);
  probeIndirect @1 (peerAddress :Text) -> (answered :Bool);
  forward @2 (request :ForwardedRequest) -> (outcome :RequestOutcome);
  lookUp @3 (idempotencyKey :Text) -> (outcome :RequestOutcome);
  revisions @4 () -> (revisions :List(ServiceRevision));
  documents @5 (names :List(Text)) -> (documents :List(Document));
  pushDocument @6 (document :Document) -> ();
  reportSuspect @7 (suspect :SuspectInput) -> ();
}

# The bootstrap object of a connection. Both sides prove knowledge of the fleet
# secret: the macs are HMACs over both nonces and the side's role.
interface Gate {
  challenge @0 () -> (nonce :Text);
  authenticate @1 (mac :Text, nonce :Text) -> (peer :Peer, mac :Text);
}
