#include "Protocol/PeerEncoding.h"

#include "Support/Digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranth::protocol::detail {

namespace {

capnp::Text::Reader text(const std::string &From) {
  return capnp::Text::Reader(From.c_str(), From.size());
}

capnp::Data::Reader data(const std::string &From) {
  return capnp::Data::Reader(
      reinterpret_cast<const unsigned char *>(From.data()), From.size());
}

std::string decodeBytes(capnp::Data::Reader From) {
  return std::string(reinterpret_cast<const char *>(From.begin()), From.size());
}

std::uint32_t toWireMs(Milliseconds Time) {
  constexpr Milliseconds::rep Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<Milliseconds::rep>(Time.count(), 0, Max));
}

double finite(double Value) {
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

void encode(const Member &From, wire::Member::Builder To) {
  To.setHost(text(From.Host_));
  To.setDataCentre(text(From.DataCentre_));
  To.setCallerAddress(text(From.CallerAddress_));
  To.setPeerAddress(text(From.PeerAddress_));
  To.setIncarnation(From.Incarnation_);
  To.setRefutation(From.Refutation_);
  To.setStatus(static_cast<std::uint8_t>(From.Status_));
  To.setLoad(From.Load_);
}

void encode(const SuspectInput &From, wire::SuspectInput::Builder To) {
  To.setDigest(text(From.Digest_));
  auto Targets = To.initCrashedTargets(From.CrashedTargets_.size());
  for (unsigned I = 0; I < Targets.size(); ++I)
    Targets.set(I, text(From.CrashedTargets_[I]));
  To.setCleared(From.Cleared_);
  To.setLongestRunMs(From.LongestRun_.count());
}

void encode(const Gossip &From, wire::Gossip::Builder To) {
  encode(From.Sender_, To.initSender());
  encodeList(From.Updates_, To.initUpdates(From.Updates_.size()));
  To.setConfigurationDigest(text(From.ConfigurationDigest_));
  encodeList(From.Usage_, To.initUsage(From.Usage_.size()));
  encodeList(From.Suspects_, To.initSuspects(From.Suspects_.size()));
}

void encode(const ForwardedRequest &From, wire::ForwardedRequest::Builder To) {
  To.setService(text(From.Service_));
  To.setAccount(text(From.Account_));
  To.setCall(text(From.Call_));
  To.setIdempotencyKey(text(From.IdempotencyKey_));
  To.setRequestId(text(From.RequestId_));
  To.setTraceParent(text(From.TraceParent_));
  To.setBody(data(From.Body_));
  To.setTimeoutMs(toWireMs(From.Timeout_));
}

void encode(const RequestOutcome &From, wire::RequestOutcome::Builder To) {
  To.setKind(static_cast<std::uint8_t>(From.Kind_));
  To.setStatus(static_cast<std::uint16_t>(From.Status_));
  To.setBody(data(From.Body_));
  To.setDetail(text(From.Detail_));
  To.setHomeAddress(text(From.HomeAddress_));
  To.setRetryAfterMs(toWireMs(From.RetryAfter_));
}

void encode(const ServiceRevision &From, wire::ServiceRevision::Builder To) {
  To.setName(text(From.Name_));
  To.setRevision(From.Revision_);
}

void encode(const state::StoredDocument &From, wire::Document::Builder To) {
  To.setName(text(From.Name_));
  To.setRevision(From.Revision_);
  To.setDeleted(From.Deleted_);
  To.setChangeId(text(From.ChangeId_));
  To.setText(text(From.Text_));
}

Member decode(wire::Member::Reader From) {
  KJ_REQUIRE(From.getStatus() <= static_cast<unsigned>(MemberStatus::Dead),
             "unknown member status");
  Member To;
  To.Host_ = decode(From.getHost());
  To.DataCentre_ = decode(From.getDataCentre());
  To.CallerAddress_ = decode(From.getCallerAddress());
  To.PeerAddress_ = decode(From.getPeerAddress());
  To.Incarnation_ = From.getIncarnation();
  To.Refutation_ = From.getRefutation();
  To.Status_ = static_cast<MemberStatus>(From.getStatus());
  To.Load_ = finite(From.getLoad());
  return To;
}

AccountUsage decode(wire::AccountUsage::Reader From) {
  AccountUsage To;
  To.Service_ = decode(From.getService());
  To.Account_ = decode(From.getAccount());
  To.RequestsPerSecond_ = finite(From.getRequestsPerSecond());
  return To;
}

void encode(const AccountUsage &From, wire::AccountUsage::Builder To) {
  To.setService(text(From.Service_));
  To.setAccount(text(From.Account_));
  To.setRequestsPerSecond(From.RequestsPerSecond_);
}

Gossip decode(wire::Gossip::Reader From, const PeerLimits &Limits) {
  Gossip To;
  To.Sender_ = decode(From.getSender());
  To.Updates_ = decodeList<Member>(From.getUpdates(), Limits);
  To.ConfigurationDigest_ = decode(From.getConfigurationDigest());
  To.Usage_ = decodeList<AccountUsage>(From.getUsage(), Limits);
  To.Suspects_ = decodeList<SuspectInput>(
      From.getSuspects(), Limits,
      [&](wire::SuspectInput::Reader Item) { return decode(Item, Limits); });
  return To;
}

SuspectInput decode(wire::SuspectInput::Reader From, const PeerLimits &Limits) {
  SuspectInput To;
  To.Digest_ = decode(From.getDigest());
  To.CrashedTargets_ =
      decodeList<std::string>(From.getCrashedTargets(), Limits);
  To.Cleared_ = From.getCleared();
  To.LongestRun_ = Milliseconds(From.getLongestRunMs());
  return To;
}

ForwardedRequest decode(wire::ForwardedRequest::Reader From) {
  ForwardedRequest To;
  To.Service_ = decode(From.getService());
  To.Account_ = decode(From.getAccount());
  To.Call_ = decode(From.getCall());
  To.IdempotencyKey_ = decode(From.getIdempotencyKey());
  To.RequestId_ = decode(From.getRequestId());
  To.TraceParent_ = decode(From.getTraceParent());
  To.Body_ = decodeBytes(From.getBody());
  To.Timeout_ = Milliseconds(From.getTimeoutMs());
  return To;
}

RequestOutcome decode(wire::RequestOutcome::Reader From) {
  KJ_REQUIRE(From.getKind() <= static_cast<unsigned>(OutcomeKind::Running),
             "unknown outcome kind");
  RequestOutcome To;
  To.Kind_ = static_cast<OutcomeKind>(From.getKind());
  To.Status_ = From.getStatus();
  To.Body_ = decodeBytes(From.getBody());
  To.Detail_ = decode(From.getDetail());
  To.HomeAddress_ = decode(From.getHomeAddress());
  To.RetryAfter_ = Milliseconds(From.getRetryAfterMs());
  return To;
}

ServiceRevision decode(wire::ServiceRevision::Reader From) {
  return {decode(From.getName()), From.getRevision()};
}

state::StoredDocument decode(wire::Document::Reader From) {
  state::StoredDocument To;
  To.Name_ = decode(From.getName());
  To.Revision_ = From.getRevision();
  To.Deleted_ = From.getDeleted();
  To.ChangeId_ = decode(From.getChangeId());
  To.Text_ = decode(From.getText());
  return To;
}

std::string decode(capnp::Text::Reader From) {
  return std::string(From.begin(), From.size());
}

} // namespace amaranth::protocol::detail
