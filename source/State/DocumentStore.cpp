#include "State/DocumentStore.h"

#include "Support/Digest.h"
#include "Support/Log.h"

namespace amaranth::state {

namespace {

std::string digestOf(const std::string &Summary) {
  return sha256Hex(Summary).substr(0, 16);
}

/// The text of \p Document must describe the service that its key names;
/// otherwise one service could replace another.
void checkName(const StoredDocument &Document, DocumentReading &Reading) {
  if (!Reading.Document_ || Reading.Document_->Name_ == Document.Name_)
    return;
  Reading.Faults_.push_back({0, "name", Reading.Document_->Name_,
                             "the service name " + Document.Name_});
  Reading.Document_.reset();
}

} // namespace

DocumentStore::DocumentStore(Reader Read)
    : Read_(std::move(Read)), Digest_(digestOf("")) {}

void DocumentStore::addListener(Listener &Added) {
  Listeners_.push_back(&Added);
}

bool DocumentStore::wants(const std::string &Name,
                          std::uint64_t Revision) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end())
    return Revision > 0;
  const Entry &Known = Found->second;
  return Revision > Known.Current_.Stored_.Revision_ &&
         Revision > Known.BadRevision_;
}

Acceptance DocumentStore::accept(const StoredDocument &Document) {
  std::lock_guard AcceptLock(AcceptMutex_);
  if (Document.Name_.empty() || !wants(Document.Name_, Document.Revision_))
    return Acceptance::NotNewer;
  DocumentInForce Next{Document, nullptr};
  if (!Document.Deleted_) {
    DocumentReading Reading = Read_(Document.Text_);
    checkName(Document, Reading);
    if (!Reading.Document_)
      return refuse(Document, Reading.Faults_);
    Next.Parsed_ =
        std::make_shared<const ServiceDocument>(std::move(*Reading.Document_));
  }
  putInForce(Next);
  for (Listener *Each : Listeners_)
    Each->onDocument(Next);
  return Acceptance::Accepted;
}

Acceptance DocumentStore::refuse(const StoredDocument &Document,
                                 const std::vector<DocumentFault> &Faults) {
  {
    std::unique_lock Lock(Mutex_);
    Entries_[Document.Name_].BadRevision_ = Document.Revision_;
  }
  LogEvent(LogLevel::Error, "document_refused")
      .field("service", Document.Name_)
      .field("revision", Document.Revision_)
      .field("faults", Faults.size())
      .field("first_key", Faults.empty() ? "" : Faults.front().Key_);
  for (Listener *Each : Listeners_)
    Each->onBadDocument(Document, Faults);
  return Acceptance::Bad;
}

void DocumentStore::putInForce(const DocumentInForce &Document) {
  std::unique_lock Lock(Mutex_);
  Entries_[Document.Stored_.Name_].Current_ = Document;
  std::string Summary;
  for (const auto &[Name, Known] : Entries_) {
    if (Known.Current_.Stored_.Revision_ == 0)
      continue;
    Summary += Name + '=' + std::to_string(Known.Current_.Stored_.Revision_);
    Summary.push_back('\n');
  }
  Digest_ = digestOf(Summary);
}

std::shared_ptr<const ServiceDocument>
DocumentStore::find(const std::string &Name) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? nullptr : Found->second.Current_.Parsed_;
}

StoredDocument DocumentStore::stored(const std::string &Name) const {
  std::shared_lock Lock(Mutex_);
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? StoredDocument{}
                                 : Found->second.Current_.Stored_;
}

std::vector<std::shared_ptr<const ServiceDocument>>
DocumentStore::services() const {
  std::shared_lock Lock(Mutex_);
  std::vector<std::shared_ptr<const ServiceDocument>> Services;
  for (const auto &[Name, Known] : Entries_)
    if (Known.Current_.Parsed_)
      Services.push_back(Known.Current_.Parsed_);
  return Services;
}

std::vector<StoredDocument> DocumentStore::all() const {
  std::shared_lock Lock(Mutex_);
  std::vector<StoredDocument> Documents;
  for (const auto &[Name, Known] : Entries_)
    if (Known.Current_.Stored_.Revision_ > 0)
      Documents.push_back(Known.Current_.Stored_);
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
  for (const auto &[Name, Known] : Entries_)
    if (Known.Current_.Stored_.Revision_ > 0)
      Revisions.push_back({Name, Known.Current_.Stored_.Revision_});
  return Revisions;
}

std::string DocumentStore::digest() const {
  std::shared_lock Lock(Mutex_);
  return Digest_;
}

} // namespace amaranth::state
