/// \file
/// Service documents in the key-value service: their encoding and changes.
#ifndef AMARANTH_COORDINATION_DOCUMENTCHANGE_H
#define AMARANTH_COORDINATION_DOCUMENTCHANGE_H

#include "Protocol/KeyValueStore.h"
#include "State/ServiceDocument.h"
#include "Support/Error.h"

#include <string>

namespace amaranth::coordination {

/// Keys of service documents start with this.
inline constexpr const char *ServicePrefix = "/amaranth/services/";

/// Greatest size of a stored value, by the limit of the key-value service.
inline constexpr std::size_t MaxValueBytes = 1000 * 1000;

/// The value stored for \p Document: {"change_id", "deleted", "document"}.
std::string encodeDocument(const state::StoredDocument &Document);

/// The document in \p Pair; CorruptData if it is not one.
Result<state::StoredDocument> decodeDocument(const protocol::KeyValue &Pair);

/// A change that an operator wants.
struct DocumentChange {
  std::string Name_;
  /// Revision that the operator saw; 0 to create. For a deleted service it is
  /// the revision of its tombstone.
  std::uint64_t ExpectedRevision_ = 0;
  /// Chosen by the operator's client, unique for each change; shows whether a
  /// write without reply took effect.
  std::string ChangeId_;
  std::string Text_; ///< TOML, already checked; ignored when deleting.
};

/// What became of a change that was decided.
struct ChangeOutcome {
  bool Applied_ = false;
  /// With Applied_ the document now stored; otherwise the one that the change
  /// conflicts with, or one with revision 0 if there is none.
  state::StoredDocument Current_;
};

/// Writes a document by compare-and-swap on the expected revision. After a lost
/// reply the same write is repeated: it can take effect only once, and its
/// failure shows the stored change id. Errors: InvalidArgument; Unavailable,
/// nothing was written; Ambiguous, no reply within \p Timeout, so repeat the
/// change with the same change id. If another operator's change followed within
/// that time, a change that took effect is reported as a conflict.
Result<ChangeOutcome> applyDocument(protocol::KeyValueStore &Store,
                                    const DocumentChange &Change,
                                    Milliseconds Timeout);

/// Replaces a document by a tombstone, which peers keep so that the service
/// does not come back. Same rules as applyDocument().
Result<ChangeOutcome> deleteDocument(protocol::KeyValueStore &Store,
                                     const DocumentChange &Change,
                                     Milliseconds Timeout);

} // namespace amaranth::coordination

#endif
