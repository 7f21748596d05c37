#include "Protocol/PeerEncoding.h"

#include "Support/Digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranth::protocol::detail {

namespace {

capnp::Text::Reader text(const std::string &Source) {
  return capnp::Text::Reader(Source.c_str(), Source.size());
}

capnp::Data::Reader data(const std::string &Source) {
  return capnp::Data::Reader(
      reinterpret_cast<const unsigned char *>(Source.data()), Source.size());
}

std::string decodeBytes(capnp::Data::Reader Source) {
  return std::string(reinterpret_cast<const char *>(Source.begin()),
                     Source.size());
}

std::uint32_t toWireMs(Milliseconds Time) {
  constexpr Milliseconds::rep MaxValue =
      std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<Milliseconds::rep>(Time.count(), 0, MaxValue));
}

double checkedNumber(double Value) {
  KJ_REQUIRE(std::isfinite(Value) && Value >= 0, "number out of range");
  return Value;
}

std::string proof(const std::string &Secret, const char *Role,
                  const std::string &ServerNonce,
                  const std::string &ClientNonce) {
  return hmacSha256Hex(Secret, std::string(Role) + ':' + ServerNonce + ':' +
                                   ClientNonce);
}

} // namespace

capnp::ReaderOptions readerOptions(const PeerLimits &Limits) {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = Limits.MaxMessageBytes_ / sizeof(capnp::word);
  return Options;
}

std::string clientProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce) {
  return proof(Secret, "client", ServerNonce, ClientNonce);
}

std::string serverProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce) {
  return proof(Secret, "server", ServerNonce, ClientNonce);
}

void encode(const Member &Source, wire::Member::Builder Builder) {
  Builder.setHost(text(Source.Host_));
  Builder.setDataCentre(text(Source.DataCentre_));
  Builder.setCallerAddress(text(Source.CallerAddress_));
  Builder.setPeerAddress(text(Source.PeerAddress_));
  Builder.setIncarnation(Source.Incarnation_);
  Builder.setRefutation(Source.Refutation_);
  Builder.setStatus(static_cast<std::uint8_t>(Source.Status_));
  Builder.setLoad(Source.Load_);
}

void encode(const SuspectInput &Source, wire::SuspectInput::Builder Builder) {
  Builder.setDigest(text(Source.Digest_));
  auto Targets = Builder.initCrashedTargets(Source.CrashedTargets_.size());
  for (unsigned I = 0; I < Targets.size(); ++I)
    Targets.set(I, text(Source.CrashedTargets_[I]));
  Builder.setCleared(Source.Cleared_);
  Builder.setLongestRunMs(Source.LongestRun_.count());
}

void encode(const Gossip &Source, wire::Gossip::Builder Builder) {
  encode(Source.Sender_, Builder.initSender());
  encodeList(Source.Updates_, Builder.initUpdates(Source.Updates_.size()));
  Builder.setConfigurationDigest(text(Source.ConfigurationDigest_));
  encodeList(Source.Usage_, Builder.initUsage(Source.Usage_.size()));
  encodeList(Source.Suspects_, Builder.initSuspects(Source.Suspects_.size()));
}

void encode(const ForwardedRequest &Source,
            wire::ForwardedRequest::Builder Builder) {
  Builder.setService(text(Source.Service_));
  Builder.setAccount(text(Source.Account_));
  Builder.setCall(text(Source.Call_));
  Builder.setIdempotencyKey(text(Source.IdempotencyKey_));
  Builder.setRequestId(text(Source.RequestId_));
  Builder.setTraceParent(text(Source.TraceParent_));
  Builder.setBody(data(Source.Body_));
  Builder.setTimeoutMs(toWireMs(Source.Timeout_));
}

void encode(const RequestOutcome &Source,
            wire::RequestOutcome::Builder Builder) {
  Builder.setKind(static_cast<std::uint8_t>(Source.Kind_));
  Builder.setStatus(static_cast<std::uint16_t>(Source.Status_));
  Builder.setBody(data(Source.Body_));
  Builder.setDetail(text(Source.Detail_));
  Builder.setHomeAddress(text(Source.HomeAddress_));
  Builder.setRetryAfterMs(toWireMs(Source.RetryAfter_));
}

void encode(const ServiceRevision &Source,
            wire::ServiceRevision::Builder Builder) {
  Builder.setName(text(Source.Name_));
  Builder.setRevision(Source.Revision_);
}

void encode(const state::StoredDocument &Source,
            wire::Document::Builder Builder) {
  Builder.setName(text(Source.Name_));
  Builder.setRevision(Source.Revision_);
  Builder.setDeleted(Source.Deleted_);
  Builder.setChangeId(text(Source.ChangeId_));
  Builder.setText(text(Source.Text_));
}

Member decode(wire::Member::Reader Source) {
  KJ_REQUIRE(Source.getStatus() <= static_cast<unsigned>(MemberStatus::Dead),
             "unknown member status");
  Member Decoded;
  Decoded.Host_ = decode(Source.getHost());
  Decoded.DataCentre_ = decode(Source.getDataCentre());
  Decoded.CallerAddress_ = decode(Source.getCallerAddress());
  Decoded.PeerAddress_ = decode(Source.getPeerAddress());
  Decoded.Incarnation_ = Source.getIncarnation();
  Decoded.Refutation_ = Source.getRefutation();
  Decoded.Status_ = static_cast<MemberStatus>(Source.getStatus());
  Decoded.Load_ = checkedNumber(Source.getLoad());
  return Decoded;
}

AccountUsage decode(wire::AccountUsage::Reader Source) {
  AccountUsage Decoded;
  Decoded.Service_ = decode(Source.getService());
  Decoded.Account_ = decode(Source.getAccount());
  Decoded.RequestsPerSecond_ = checkedNumber(Source.getRequestsPerSecond());
  return Decoded;
}

void encode(const AccountUsage &Source, wire::AccountUsage::Builder Builder) {
  Builder.setService(text(Source.Service_));
  Builder.setAccount(text(Source.Account_));
  Builder.setRequestsPerSecond(Source.RequestsPerSecond_);
}

Gossip decode(wire::Gossip::Reader Source, const PeerLimits &Limits) {
  Gossip Decoded;
  Decoded.Sender_ = decode(Source.getSender());
  Decoded.Updates_ = decodeList<Member>(Source.getUpdates(), Limits);
  Decoded.ConfigurationDigest_ = decode(Source.getConfigurationDigest());
  Decoded.Usage_ = decodeList<AccountUsage>(Source.getUsage(), Limits);
  Decoded.Suspects_ = decodeList<SuspectInput>(
      Source.getSuspects(), Limits,
      [&](wire::SuspectInput::Reader Item) { return decode(Item, Limits); });
  return Decoded;
}

SuspectInput decode(wire::SuspectInput::Reader Source,
                    const PeerLimits &Limits) {
  SuspectInput Decoded;
  Decoded.Digest_ = decode(Source.getDigest());
  Decoded.CrashedTargets_ =
      decodeList<std::string>(Source.getCrashedTargets(), Limits);
  Decoded.Cleared_ = Source.getCleared();
  Decoded.LongestRun_ = Milliseconds(Source.getLongestRunMs());
  return Decoded;
}

ForwardedRequest decode(wire::ForwardedRequest::Reader Source) {
  ForwardedRequest Decoded;
  Decoded.Service_ = decode(Source.getService());
  Decoded.Account_ = decode(Source.getAccount());
  Decoded.Call_ = decode(Source.getCall());
  Decoded.IdempotencyKey_ = decode(Source.getIdempotencyKey());
  Decoded.RequestId_ = decode(Source.getRequestId());
  Decoded.TraceParent_ = decode(Source.getTraceParent());
  Decoded.Body_ = decodeBytes(Source.getBody());
  Decoded.Timeout_ = Milliseconds(Source.getTimeoutMs());
  return Decoded;
}

RequestOutcome decode(wire::RequestOutcome::Reader Source) {
  KJ_REQUIRE(Source.getKind() <= static_cast<unsigned>(OutcomeKind::Running),
             "unknown outcome kind");
  RequestOutcome Decoded;
  Decoded.Kind_ = static_cast<OutcomeKind>(Source.getKind());
  Decoded.Status_ = Source.getStatus();
  Decoded.Body_ = decodeBytes(Source.getBody());
  Decoded.Detail_ = decode(Source.getDetail());
  Decoded.HomeAddress_ = decode(Source.getHomeAddress());
  Decoded.RetryAfter_ = Milliseconds(Source.getRetryAfterMs());
  return Decoded;
}

ServiceRevision decode(wire::ServiceRevision::Reader Source) {
  return {decode(Source.getName()), Source.getRevision()};
}

state::StoredDocument decode(wire::Document::Reader Source) {
  state::StoredDocument Decoded;
  Decoded.Name_ = decode(Source.getName());
  Decoded.Revision_ = Source.getRevision();
  Decoded.Deleted_ = Source.getDeleted();
  Decoded.ChangeId_ = decode(Source.getChangeId());
  Decoded.Text_ = decode(Source.getText());
  return Decoded;
}

std::string decode(capnp::Text::Reader Source) {
  return std::string(Source.begin(), Source.size());
}

} // namespace amaranth::protocol::detail
