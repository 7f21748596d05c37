/// \file
/// Validation rules for texts in documents, settings and command lines.
#ifndef AMARANTH_STATE_TEXTRULE_H
#define AMARANTH_STATE_TEXTRULE_H

#include <string_view>

namespace amaranth::state {

/// Validation rule for the text values of a key.
struct TextRule {
  bool (*Accepts_)(std::string_view Text);
  const char *Allowed_; ///< Description of the accepted texts, for messages.
  /// The text must not appear in messages, because it is a secret or may be one
  /// that was entered by mistake.
  bool Secret_ = false;
};

/// Names of services, stages, calls, targets, accounts, hosts and data centres.
/// They are used in URLs, in keys of the key-value service and in metric
/// labels.
extern const TextRule NameRule;
/// Names of models: printable, without spaces.
extern const TextRule ModelRule;
/// "IP:port" to connect to.
extern const TextRule AddressRule;
/// "IP:port", or empty.
extern const TextRule OptionalAddressRule;
/// "IP:port" to listen on; port 0 lets the system choose.
extern const TextRule ListenAddressRule;
/// SHA-256 in hex.
extern const TextRule DigestRule;
/// A shared secret, long enough to resist guessing.
extern const TextRule SecretRule;

} // namespace amaranth::state

#endif
