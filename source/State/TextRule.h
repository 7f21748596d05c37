/// \file
/// Rules for the texts in documents, settings and command lines.
#ifndef AMARANTH_STATE_TEXTRULE_H
#define AMARANTH_STATE_TEXTRULE_H

#include <string_view>

namespace amaranth::state {

/// Which texts a key accepts.
struct TextRule {
  bool (*Accepts_)(std::string_view Text);
  const char *Allowed_; ///< What is accepted, for people.
  /// The text must not appear in a fault: it is a secret, or a secret may have
  /// been put there by mistake.
  bool Secret_ = false;
};

/// Names of services, stages, calls, targets, accounts, hosts and data centres.
/// They become parts of URLs, of keys of the key-value service and of labels.
extern const TextRule NameRule;
/// Names of models: printable, without spaces.
extern const TextRule ModelRule;
/// "IP:port" that can be connected to.
extern const TextRule AddressRule;
/// "IP:port", or empty.
extern const TextRule OptionalAddressRule;
/// "IP:port" to listen on; port 0 lets the system choose.
extern const TextRule ListenAddressRule;
/// SHA-256 in hex.
extern const TextRule DigestRule;
/// A shared secret, long enough not to be guessed.
extern const TextRule SecretRule;

} // namespace amaranth::state

#endif
