#include "Coordination/DocumentChange.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace amaranth::coordination {

using nlohmann::json;
using protocol::Compare;
using protocol::KeyValue;
using protocol::Mutation;
using protocol::Transaction;
using protocol::TransactionResult;
using state::StoredDocument;

namespace {

/// Maximum wait for one reply, so that several attempts fit into the timeout of
/// a change.
constexpr Milliseconds AttemptTimeout{1000};

/// Maximum number of attempts to write and to find out the outcome.
constexpr int MaxAttempts = 3;

/// The string member \p Name, or null if it is missing or not a string.
const std::string *textMember(const json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return nullptr;
  return Found->get_ptr<const std::string *>();
}

Error corruptData(const KeyValue &Pair, const char *Reason) {
  return {ErrorCode::CorruptData, Pair.Key_ + ": " + Reason};
}

bool isServiceName(const std::string &Name) {
  return !Name.empty() && Name.find('/') == std::string::npos;
}

/// JSON text is UTF-8; storing any other bytes would change them.
bool isUtf8(const std::string &Text) {
  json Probe = Text;
  return Probe.dump(-1, ' ', false, json::error_handler_t::replace) ==
         Probe.dump(-1, ' ', false, json::error_handler_t::ignore);
}

Result<void> checkChange(const StoredDocument &Document) {
  if (!isServiceName(Document.Name_))
    return fail(ErrorCode::InvalidArgument,
                "the service name is empty or contains a slash");
  if (Document.ChangeId_.empty())
    return fail(ErrorCode::InvalidArgument, "the change id is missing");
  if (!isUtf8(Document.Text_) || !isUtf8(Document.ChangeId_))
    return fail(ErrorCode::InvalidArgument, "the document is not UTF-8");
  if (encodeDocument(Document).size() > MaxValueBytes)
    return fail(ErrorCode::InvalidArgument, "the document needs more than " +
                                                std::to_string(MaxValueBytes) +
                                                " bytes");
  return {};
}

Transaction makeTransaction(const StoredDocument &Document,
                            std::uint64_t ExpectedRevision) {
  std::string Key = ServicePrefix + Document.Name_;
  Transaction Request;
  Request.Conditions_ = {{Key, Compare::Field::ModRevision,
                          Compare::Relation::Equal, ExpectedRevision}};
  Request.Writes_ = {{Mutation::Kind::Put, Key, encodeDocument(Document), 0}};
  Request.ReadOnFailure_ = {Key};
  return Request;
}

/// Outcome of a transaction whose reply was received.
ChangeOutcome readOutcome(const TransactionResult &Reply,
                          StoredDocument Document) {
  if (Reply.Succeeded_) {
    Document.Revision_ = Reply.StoreRevision_;
    return ChangeOutcome{true, std::move(Document)};
  }
  if (Reply.Found_.empty())
    return ChangeOutcome{};
  const KeyValue &Pair = Reply.Found_.front();
  auto Current = capture([&] { return decodeDocument(Pair); });
  // An unreadable value is reported by its revision only, so that a change that
  // expects this revision can replace it.
  if (!Current)
    return ChangeOutcome{false,
                         {Document.Name_, Pair.ModRevision_, false, "", ""}};
  const bool IsOwnChange = Current->ChangeId_ == Document.ChangeId_;
  return ChangeOutcome{IsOwnChange, std::move(*Current)};
}

Result<ChangeOutcome> writeDocument(protocol::KeyValueStore &Store,
                                    const StoredDocument &Document,
                                    std::uint64_t ExpectedRevision,
                                    Milliseconds Timeout) {
  BOOST_LEAF_CHECK(checkChange(Document));
  const Transaction Request = makeTransaction(Document, ExpectedRevision);
  const SteadyTime Deadline = SteadyClock::now() + Timeout;
  Error Failure{ErrorCode::Unavailable, "no time left for the change"};
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const Milliseconds TimeLeft = remaining(Deadline);
    if (TimeLeft.count() == 0)
      break;
    auto Reply = capture([&] {
      return Store.commit(Request, std::min(TimeLeft, AttemptTimeout));
    });
    if (Reply)
      return readOutcome(*Reply, Document);
    // Once a reply was lost, no later failure can show that nothing was
    // written.
    if (Failure.Code_ != ErrorCode::Ambiguous)
      Failure = Reply.error();
    if (Reply.error().Code_ != ErrorCode::Ambiguous)
      break;
  }
  return boost::leaf::new_error(std::move(Failure));
}

} // namespace

std::string encodeDocument(const StoredDocument &Document) {
  json Envelope{{"change_id", Document.ChangeId_},
                {"deleted", Document.Deleted_},
                {"document", Document.Text_}};
  return Envelope.dump();
}

Result<StoredDocument> decodeDocument(const KeyValue &Pair) {
  StoredDocument Document;
  if (!Pair.Key_.starts_with(ServicePrefix))
    return boost::leaf::new_error(
        corruptData(Pair, "key is not below /amaranth/services/"));
  Document.Name_ = Pair.Key_.substr(std::string_view(ServicePrefix).size());
  if (!isServiceName(Document.Name_))
    return boost::leaf::new_error(corruptData(
        Pair, "service name in the key is empty or contains a slash"));
  json Envelope = json::parse(Pair.Value_, nullptr, false);
  if (!Envelope.is_object())
    return boost::leaf::new_error(
        corruptData(Pair, "value is not a JSON object"));
  const std::string *ChangeId = textMember(Envelope, "change_id");
  const std::string *Text = textMember(Envelope, "document");
  auto Deleted = Envelope.find("deleted");
  if (!ChangeId || !Text || Deleted == Envelope.end() || !Deleted->is_boolean())
    return boost::leaf::new_error(corruptData(
        Pair, "value lacks one of change_id (string), document (string) and "
              "deleted (boolean)"));
  Document.ChangeId_ = *ChangeId;
  Document.Text_ = *Text;
  Document.Deleted_ = Deleted->get<bool>();
  Document.Revision_ = Pair.ModRevision_;
  return Document;
}

Result<ChangeOutcome> applyDocument(protocol::KeyValueStore &Store,
                                    const DocumentChange &Change,
                                    Milliseconds Timeout) {
  StoredDocument Document{Change.Name_, 0, false, Change.ChangeId_,
                          Change.Text_};
  return writeDocument(Store, Document, Change.ExpectedRevision_, Timeout);
}

Result<ChangeOutcome> deleteDocument(protocol::KeyValueStore &Store,
                                     const DocumentChange &Change,
                                     Milliseconds Timeout) {
  StoredDocument Tombstone{Change.Name_, 0, true, Change.ChangeId_, ""};
  return writeDocument(Store, Tombstone, Change.ExpectedRevision_, Timeout);
}

} // namespace amaranth::coordination
