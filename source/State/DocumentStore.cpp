#include "State/DocumentStore.h"

#include "Support/Digest.h"
#include "Support/Log.h"

namespace amaranth::state {

namespace {

std::string shortDigest(const std::string &RevisionList) {
  return sha256Hex(RevisionList).substr(0, 16);
}

/// Rejects a document whose text names another service than its key does;
/// otherwise it could replace the document of that service.
void checkName(const StoredDocument &Document, DocumentReadResult &Reading) {
  if (!Reading.Document_ || Reading.Document_->Name_ == Document.Name_)
    return;
  Reading.Faults_.push_back({0, "name", Reading.Document_->Name_,
                             "the service name " + Document.Name_});
  Reading.Document_.reset();
}

} // namespace

DocumentStore::DocumentStore(Reader ReadDocument)
    : ReadDocument_(std::move(ReadDocument)), Digest_(shortDigest("")) {}

void DocumentStore::addListener(Listener &NewListener) {
  Listeners_.push_back(&NewListener);
}

bool DocumentStore::isNewRevision(const std::string &Name,
                                  std::uint64_t Revision) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end())
    return Revision > 0;
  const Entry &ServiceEntry = Found->second;
  return Revision > ServiceEntry.InForce_.Stored_.Revision_ &&
         Revision > ServiceEntry.InvalidRevision_;
}

Acceptance DocumentStore::accept(const StoredDocument &Document) {
  std::lock_guard AcceptLock(AcceptMutex_);
  if (Document.Name_.empty() ||
      !isNewRevision(Document.Name_, Document.Revision_))
    return Acceptance::NotNewer;
  DocumentInForce NewDocument{Document, nullptr};
  if (!Document.Deleted_) {
    DocumentReadResult Reading = ReadDocument_(Document.Text_);
    checkName(Document, Reading);
    if (!Reading.Document_)
      return rejectDocument(Document, Reading.Faults_);
    NewDocument.Parsed_ =
        std::make_shared<const ServiceDocument>(std::move(*Reading.Document_));
  }
  putInForce(NewDocument);
  for (Listener *Receiver : Listeners_)
    Receiver->onDocument(NewDocument);
  return Acceptance::Accepted;
}

Acceptance
DocumentStore::rejectDocument(const StoredDocument &Document,
                              const std::vector<DocumentFault> &Faults) {
  {
    std::unique_lock Lock(Mutex_);
    Entries_[Document.Name_].InvalidRevision_ = Document.Revision_;
  }
  LogEvent(LogLevel::Error, "document_refused")
      .field("service", Document.Name_)
      .field("revision", Document.Revision_)
      .field("faults", Faults.size())
      .field("first_key", Faults.empty() ? "" : Faults.front().Key_);
  for (Listener *Receiver : Listeners_)
    Receiver->onInvalidDocument(Document, Faults);
  return Acceptance::Invalid;
}

void DocumentStore::putInForce(const DocumentInForce &Document) {
  std::unique_lock Lock(Mutex_);
  Entries_[Document.Stored_.Name_].InForce_ = Document;
  std::string RevisionList;
  for (const auto &[Name, ServiceEntry] : Entries_) {
    if (ServiceEntry.InForce_.Stored_.Revision_ == 0)
      continue;
    RevisionList +=
        Name + '=' + std::to_string(ServiceEntry.InForce_.Stored_.Revision_);
    RevisionList.push_back('\n');
  }
  Digest_ = shortDigest(RevisionList);
}

std::shared_ptr<const ServiceDocument>
DocumentStore::find(const std::string &Name) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? nullptr : Found->second.InForce_.Parsed_;
}

StoredDocument DocumentStore::stored(const std::string &Name) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? StoredDocument{}
                                 : Found->second.InForce_.Stored_;
}

std::vector<std::shared_ptr<const ServiceDocument>>
DocumentStore::services() const {
  std::shared_lock Lock(Mutex_);
  std::vector<std::shared_ptr<const ServiceDocument>> Services;
  for (const auto &[Name, ServiceEntry] : Entries_)
    if (ServiceEntry.InForce_.Parsed_)
      Services.push_back(ServiceEntry.InForce_.Parsed_);
  return Services;
}

std::vector<StoredDocument> DocumentStore::all() const {
  std::shared_lock Lock(Mutex_);
  std::vector<StoredDocument> Documents;
  for (const auto &[Name, ServiceEntry] : Entries_)
    if (ServiceEntry.InForce_.Stored_.Revision_ > 0)
      Documents.push_back(ServiceEntry.InForce_.Stored_);
  return Documents;
}

std::vector<StoredDocument>
DocumentStore::documents(const std::vector<std::string> &Names) const {
  std::vector<StoredDocument> Documents;
  for (const std::string &Name : Names) {
    StoredDocument Found = stored(Name);
    if (Found.Revision_ > 0)
      Documents.push_back(std::move(Found));
  }
  return Documents;
}

std::vector<DocumentRevision> DocumentStore::revisions() const {
  std::shared_lock Lock(Mutex_);
  std::vector<DocumentRevision> Revisions;
  for (const auto &[Name, ServiceEntry] : Entries_)
    if (ServiceEntry.InForce_.Stored_.Revision_ > 0)
      Revisions.push_back({Name, ServiceEntry.InForce_.Stored_.Revision_});
  return Revisions;
}

std::string DocumentStore::digest() const {
  std::shared_lock Lock(Mutex_);
  return Digest_;
}

} // namespace amaranth::state
