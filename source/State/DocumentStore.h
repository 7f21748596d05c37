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

/// What became of a document given to DocumentStore::accept().
enum class Acceptance {
  Accepted, ///< It is now in force.
  NotNewer, ///< Its revision is not higher than the one already accepted.
  Bad,      ///< It failed the check; the last good document stays in force.
};

/// A document as it was stored, with its parsed form.
struct DocumentInForce {
  StoredDocument Stored_;
  /// Null for a tombstone.
  std::shared_ptr<const ServiceDocument> Parsed_;
};

/// A document's name and revision.
struct DocumentRevision {
  std::string Name_;
  std::uint64_t Revision_ = 0;
};

/// Keeps for each service the document with the highest accepted revision.
/// Tombstones are kept as well, so that a peer that is behind cannot bring a
/// deleted service back. A document that fails the check is remembered by its
/// revision, so that it is reported and parsed once. Thread-safe.
class DocumentStore final {
public:
  using Reader = std::function<DocumentReading(std::string_view)>;

  /// Told about changes.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// \p Document is in force now. Calls for one service come in the order of
    /// its revisions. Must not call accept().
    virtual void onDocument(const DocumentInForce &Document) = 0;
    /// \p Document failed the check and was not put in force.
    virtual void onBadDocument(const StoredDocument &Document,
                               const std::vector<DocumentFault> &Faults) = 0;
  };

  /// \p Read checks and parses the text of a document.
  explicit DocumentStore(Reader Read = readServiceDocument);

  /// Adds a listener, which must outlive this object. Call before accept().
  void addListener(Listener &Added);

  /// Puts \p Document in force if it is newer and correct.
  Acceptance accept(const StoredDocument &Document);

  /// True if accept() would look at this revision: it is higher than both the
  /// one in force and the last one refused. Saves fetching it in vain.
  bool wants(const std::string &Name, std::uint64_t Revision) const;

  /// The parsed document of \p Name, or null if there is none in force.
  std::shared_ptr<const ServiceDocument> find(const std::string &Name) const;

  /// The stored form of \p Name with its revision, tombstones included;
  /// revision 0 if it is unknown.
  StoredDocument stored(const std::string &Name) const;

  /// Every parsed document in force, by name, without tombstones.
  std::vector<std::shared_ptr<const ServiceDocument>> services() const;

  /// Every stored document, tombstones included, by name.
  std::vector<StoredDocument> all() const;

  /// The stored documents among \p Names, tombstones included.
  std::vector<StoredDocument>
  documents(const std::vector<std::string> &Names) const;

  /// Name and revision of every document, in the same order.
  std::vector<DocumentRevision> revisions() const;

  /// Digest over all names and revisions; equal on hosts with equal documents.
  std::string digest() const;

private:
  struct Entry {
    DocumentInForce Current_;
    std::uint64_t BadRevision_ = 0; ///< Highest revision that was refused.
  };

  Acceptance refuse(const StoredDocument &Document,
                    const std::vector<DocumentFault> &Faults);
  void putInForce(const DocumentInForce &Document);

  Reader Read_;
  std::vector<Listener *> Listeners_;
  /// Held for the whole of accept(), so that listeners see changes in order
  /// while readers are not kept waiting for them.
  std::mutex AcceptMutex_;
  mutable std::shared_mutex Mutex_; ///< Guards Entries_ and Digest_.
  std::map<std::string, Entry> Entries_;
  std::string Digest_;
};

} // namespace amaranth::state

#endif
