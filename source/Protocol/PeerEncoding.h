/// \file
/// Conversion between PeerMessages and their Cap'n Proto encoding.
#ifndef AMARANTH_PROTOCOL_PEERENCODING_H
#define AMARANTH_PROTOCOL_PEERENCODING_H

#include "Protocol/Peer.capnp.h"
#include "Protocol/PeerMessages.h"

#include <capnp/message.h>

namespace amaranth::protocol {

/// Limits on what a peer can make this process allocate.
struct PeerLimits {
  std::size_t MaxMessageBytes_ = 16 * 1024 * 1024;
  /// Elements of one list.
  std::size_t MaxListElements_ = 65536;
  /// Text of all documents in one reply; the rest is fetched with a later call.
  std::size_t MaxDocumentBytes_ = 8 * 1024 * 1024;
};

namespace detail {

/// Options that refuse a message above the limit, and one that refers to the
/// same data repeatedly to appear larger than it is.
capnp::ReaderOptions readerOptions(const PeerLimits &Limits);

/// Proof of knowing the fleet secret, bound to both nonces and the role.
std::string clientProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce);
std::string serverProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce);

// Writers.
void encode(const Member &From, wire::Member::Builder To);
void encode(const AccountUsage &From, wire::AccountUsage::Builder To);
void encode(const Gossip &From, wire::Gossip::Builder To);
void encode(const SuspectInput &From, wire::SuspectInput::Builder To);
void encode(const ForwardedRequest &From, wire::ForwardedRequest::Builder To);
void encode(const RequestOutcome &From, wire::RequestOutcome::Builder To);
void encode(const ServiceRevision &From, wire::ServiceRevision::Builder To);
void encode(const state::StoredDocument &From, wire::Document::Builder To);

// Readers; they throw kj::Exception on values out of range, which KJ turns into
// a failed call.
Member decode(wire::Member::Reader From);
AccountUsage decode(wire::AccountUsage::Reader From);
Gossip decode(wire::Gossip::Reader From, const PeerLimits &Limits);
SuspectInput decode(wire::SuspectInput::Reader From, const PeerLimits &Limits);
ForwardedRequest decode(wire::ForwardedRequest::Reader From);
RequestOutcome decode(wire::RequestOutcome::Reader From);
ServiceRevision decode(wire::ServiceRevision::Reader From);
state::StoredDocument decode(wire::Document::Reader From);
std::string decode(capnp::Text::Reader From);

/// Reads a list, each element by \p ReadOne.
template <typename T, typename List, typename Read>
std::vector<T> decodeList(List From, const PeerLimits &Limits, Read &&ReadOne) {
  KJ_REQUIRE(From.size() <= Limits.MaxListElements_, "list is too long");
  std::vector<T> Items;
  Items.reserve(From.size());
  for (auto Item : From)
    Items.push_back(ReadOne(Item));
  return Items;
}

/// Reads a list of elements whose decode() is declared above.
template <typename T, typename List>
std::vector<T> decodeList(List From, const PeerLimits &Limits) {
  return decodeList<T>(From, Limits, [](auto Item) { return decode(Item); });
}

template <typename T, typename Builder>
void encodeList(const std::vector<T> &From, Builder To) {
  for (unsigned I = 0; I < To.size(); ++I)
    encode(From[I], To[I]);
}

} // namespace detail

} // namespace amaranth::protocol

#endif
