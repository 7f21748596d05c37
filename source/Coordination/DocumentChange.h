/// \file
/// Service documents in the key-value service: their encoding and changes.
#ifndef AMARANTH_COORDINATION_DOCUMENTCHANGE_H
#define AMARANTH_COORDINATION_DOCUMENTCHANGE_H

#include "Protocol/KeyValueStore.h"
#include "State/ServiceDocument.h"
#include "Support/Error.h"

#include <string>

namespace amaranth::coordination {

/// Prefix of the keys of service documents.
inline constexpr const char *ServicePrefix = "/amaranth/services/";

/// Maximum size of a stored value, below the limit of the key-value service.
inline constexpr std::size_t MaxValueBytes = 1000 * 1000;

/// The value stored for \p Document: {"change_id", "deleted", "document"}.
std::string encodeDocument(const state::StoredDocument &Document);

/// The document in \p Pair; CorruptData if it is not one.
Result<state::StoredDocument> decodeDocument(const protocol::KeyValue &Pair);

/// A change requested by an operator.
struct DocumentChange {
  std::string Name_;
  /// Revision that the operator saw; 0 to create. For a deleted service it is
  /// the revision of its tombstone.
  std::uint64_t ExpectedRevision_ = 0;
  /// Chosen by the operator's client, unique for each change. It is stored with
  /// the document and so shows whether a write whose reply was lost took
  /// effect.
  std::string ChangeId_;
  std::string Text_; ///< TOML, already checked; ignored when deleting.
};

/// Result of a change whose outcome is known.
struct ChangeOutcome {
  bool Applied_ = false;
  /// If Applied_, the document now stored; otherwise the stored document that
  /// the change conflicts with, or one with revision 0 if none is stored.
  state::StoredDocument Current_;
};

/// Writes a document by compare-and-swap on the expected revision. After a lost
/// reply the same write is repeated: it can take effect only once, and if it
/// fails the stored change id shows whether the first one took effect.
/// Errors: InvalidArgument; Unavailable if nothing was written; Ambiguous if no
/// reply came within \p Timeout, so that the caller should repeat the change
/// with the same change id. If another operator's change followed within that
/// time, a change that took effect is reported as a conflict.
Result<ChangeOutcome> applyDocument(protocol::KeyValueStore &Store,
                                    const DocumentChange &Change,
                                    Milliseconds Timeout);

/// Replaces a document by a tombstone, which hosts keep so that an older copy
/// does not restore the service. Otherwise like applyDocument().
Result<ChangeOutcome> deleteDocument(protocol::KeyValueStore &Store,
                                     const DocumentChange &Change,
                                     Milliseconds Timeout);

} // namespace amaranth::coordination

#endif
