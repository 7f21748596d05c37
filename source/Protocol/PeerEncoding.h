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

/// Reader options that refuse messages above the limit, and small ones that
/// refer to the same data repeatedly and would expand beyond the limit.
capnp::ReaderOptions readerOptions(const PeerLimits &Limits);

/// Message authentication code that proves knowledge of the fleet secret, for
/// one pair of nonces and one role.
std::string clientProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce);
std::string serverProof(const std::string &Secret,
                        const std::string &ServerNonce,
                        const std::string &ClientNonce);

// Writers.
void encode(const Member &Source, wire::Member::Builder Builder);
void encode(const AccountUsage &Source, wire::AccountUsage::Builder Builder);
void encode(const Gossip &Source, wire::Gossip::Builder Builder);
void encode(const SuspectInput &Source, wire::SuspectInput::Builder Builder);
void encode(const ForwardedRequest &Source,
            wire::ForwardedRequest::Builder Builder);
void encode(const RequestOutcome &Source,
            wire::RequestOutcome::Builder Builder);
void encode(const ServiceRevision &Source,
            wire::ServiceRevision::Builder Builder);
void encode(const state::StoredDocument &Source,
            wire::Document::Builder Builder);

// Readers; they throw kj::Exception on values out of range, which KJ turns into
// a failed call.
Member decode(wire::Member::Reader Source);
AccountUsage decode(wire::AccountUsage::Reader Source);
Gossip decode(wire::Gossip::Reader Source, const PeerLimits &Limits);
SuspectInput decode(wire::SuspectInput::Reader Source,
                    const PeerLimits &Limits);
ForwardedRequest decode(wire::ForwardedRequest::Reader Source);
RequestOutcome decode(wire::RequestOutcome::Reader Source);
ServiceRevision decode(wire::ServiceRevision::Reader Source);
state::StoredDocument decode(wire::Document::Reader Source);
std::string decode(capnp::Text::Reader Source);

/// Decodes a list, each element with \p DecodeItem.
template <typename T, typename List, typename Read>
std::vector<T> decodeList(List Source, const PeerLimits &Limits,
                          Read &&DecodeItem) {
  KJ_REQUIRE(Source.size() <= Limits.MaxListElements_, "list is too long");
  std::vector<T> Items;
  Items.reserve(Source.size());
  for (auto Item : Source)
    Items.push_back(DecodeItem(Item));
  return Items;
}

/// Decodes a list of elements whose decode() is declared above.
template <typename T, typename List>
std::vector<T> decodeList(List Source, const PeerLimits &Limits) {
  return decodeList<T>(Source, Limits, [](auto Item) { return decode(Item); });
}

template <typename T, typename Builder>
void encodeList(const std::vector<T> &Source, Builder List) {
  for (unsigned I = 0; I < List.size(); ++I)
    encode(Source[I], List[I]);
}

} // namespace detail

} // namespace amaranth::protocol

#endif
