/// \file
/// The service documents in force on this host.
#ifndef AMARANTH_STATE_DOCUMENTSTORE_H
#define AMARANTH_STATE_DOCUMENTSTORE_H

#include "State/ServiceDocument.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace amaranth::state {

/// Result of DocumentStore::accept().
enum class Acceptance {
  Accepted, ///< The document is now in force.
  NotNewer, ///< Its revision is not higher than all those seen before.
  Invalid,  ///< It failed validation; the last valid one stays in force.
};

/// The stored document that a service uses now, with its parsed form.
struct DocumentInForce {
  StoredDocument Stored_;
  /// Null for a tombstone (the record of a deleted document).
  std::shared_ptr<const ServiceDocument> Parsed_;
};

/// A document's name and revision.
struct DocumentRevision {
  std::string Name_;
  std::uint64_t Revision_ = 0;
};

/// Keeps for each service the document with the highest accepted revision.
/// Tombstones are kept as well, so that a peer with old documents cannot
/// restore a deleted service. The revision of an invalid document is kept, so
/// that the document is parsed and reported only once. Thread-safe.
class DocumentStore final {
public:
  using Reader = std::function<DocumentReadResult(std::string_view)>;

  /// Receives changes of documents.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// Called when \p Document has come into force; for each service in the
    /// order of its revisions. Must not call accept().
    virtual void onDocument(const DocumentInForce &Document) = 0;
    /// Called when \p Document failed validation and was not put in force.
    virtual void
    onInvalidDocument(const StoredDocument &Document,
                      const std::vector<DocumentFault> &Faults) = 0;
  };

  /// \p ReadDocument parses and validates the text of a document.
  explicit DocumentStore(Reader ReadDocument = readServiceDocument);

  /// Adds a listener, which must outlive this object. Call before accept().
  void addListener(Listener &NewListener);

  /// Puts \p Document in force if it is newer and valid.
  Acceptance accept(const StoredDocument &Document);

  /// True if \p Revision is higher than both the one in force and the highest
  /// invalid one. accept() ignores other revisions, so they need not be
  /// fetched.
  bool isNewRevision(const std::string &Name, std::uint64_t Revision) const;

  /// Returns the parsed document of \p Name, or null if none is in force.
  std::shared_ptr<const ServiceDocument> find(const std::string &Name) const;

  /// Returns the stored document or tombstone of \p Name. Its revision is 0 if
  /// the name is unknown.
  StoredDocument stored(const std::string &Name) const;

  /// Returns all parsed documents in force, sorted by name, without tombstones.
  std::vector<std::shared_ptr<const ServiceDocument>> services() const;

  /// Returns all stored documents, tombstones included, sorted by name.
  std::vector<StoredDocument> all() const;

  /// Returns the stored documents named in \p Names, tombstones included.
  /// Unknown names are left out.
  std::vector<StoredDocument>
  documents(const std::vector<std::string> &Names) const;

  /// Returns the names and revisions of all stored documents, sorted by name.
  std::vector<DocumentRevision> revisions() const;

  /// Returns a digest over all names and revisions. It is equal on hosts that
  /// have the same documents.
  std::string digest() const;

private:
  struct Entry {
    DocumentInForce InForce_;
    std::uint64_t InvalidRevision_ = 0; ///< Highest one that failed validation.
  };

  Acceptance rejectDocument(const StoredDocument &Document,
                            const std::vector<DocumentFault> &Faults);
  void putInForce(const DocumentInForce &Document);

  Reader ReadDocument_;
  std::vector<Listener *> Listeners_;
  /// Held throughout accept(), so that listeners see changes in order. Readers
  /// do not wait for it.
  std::mutex AcceptMutex_;
  mutable std::shared_mutex Mutex_; ///< Guards Entries_ and Digest_.
  std::map<std::string, Entry> Entries_;
  std::string Digest_;
};

} // namespace amaranth::state

#endif
