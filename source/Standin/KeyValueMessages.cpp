#include "Standin/KeyValueMessages.h"

#include "Support/Digest.h"

#include <charconv>

namespace amaranth::standin {

using Json = nlohmann::json;

namespace {

/// The field \p Name, which is in snake case, or its camel-case form, which
/// the gateway accepts too; null if both are absent.
Json findField(const Json &Body, const std::string &Name) {
  if (!Body.is_object())
    return nullptr;
  if (auto Found = Body.find(Name); Found != Body.end())
    return *Found;
  std::string CamelCaseName;
  for (std::size_t I = 0; I < Name.size(); ++I) {
    if (Name[I] == '_' && I + 1 < Name.size())
      CamelCaseName += static_cast<char>(std::toupper(Name[++I]));
    else
      CamelCaseName += Name[I];
  }
  auto Found = Body.find(CamelCaseName);
  return Found == Body.end() ? Json() : *Found;
}

Result<std::string> readBytes(const Json &Body, const char *Name) {
  Json Value = findField(Body, Name);
  if (Value.is_null())
    return std::string();
  if (!Value.is_string())
    return fail(ErrorCode::InvalidArgument,
                std::string(Name) + " is not a base64 string");
  return base64Decode(Value.get<std::string>());
}

Result<KeyRange> readKeyRange(const Json &Body) {
  KeyRange Range;
  BOOST_LEAF_ASSIGN(Range.Key_, readBytes(Body, "key"));
  BOOST_LEAF_ASSIGN(Range.End_, readBytes(Body, "range_end"));
  if (Range.Key_.empty() && Range.End_.empty())
    return fail(ErrorCode::InvalidArgument, "etcdserver: key is not provided");
  return Range;
}

Result<bool> readBool(const Json &Body, const char *Name) {
  Json Value = findField(Body, Name);
  if (Value.is_null())
    return false;
  if (!Value.is_boolean())
    return fail(ErrorCode::InvalidArgument,
                std::string(Name) + " is not a boolean");
  return Value.get<bool>();
}

/// The index in \p Names of an enumeration value, which is encoded as its name
/// or its number; 0 if absent.
Result<std::size_t> readEnum(const Json &Body, const char *Name,
                             const std::vector<std::string> &Names) {
  Json Value = findField(Body, Name);
  if (Value.is_null())
    return 0;
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (Value == Json(Names[I]) || Value == Json(I))
      return I;
  return fail(ErrorCode::InvalidArgument,
              std::string("unsupported value of ") + Name);
}

Result<KeyComparison> readComparison(const Json &Body) {
  KeyComparison Comparison;
  BOOST_LEAF_ASSIGN(Comparison.Key_, readBytes(Body, "key"));
  BOOST_LEAF_AUTO(
      Target,
      readEnum(Body, "target", {"VERSION", "CREATE", "MOD", "VALUE", "LEASE"}));
  BOOST_LEAF_AUTO(
      Relation,
      readEnum(Body, "result", {"EQUAL", "GREATER", "LESS", "NOT_EQUAL"}));
  Comparison.Target_ = static_cast<KeyComparison::Target>(Target);
  Comparison.Relation_ = static_cast<KeyComparison::Relation>(Relation);
  static constexpr const char *Fields[] = {"version", "create_revision",
                                           "mod_revision", "value", "lease"};
  if (Comparison.Target_ == KeyComparison::Target::Value) {
    BOOST_LEAF_ASSIGN(Comparison.Value_, readBytes(Body, Fields[Target]));
  } else {
    BOOST_LEAF_ASSIGN(Comparison.Number_, readInteger(Body, Fields[Target]));
  }
  return Comparison;
}

Result<Operation> readOperation(const Json &Body) {
  if (Json Element = findField(Body, "request_range"); !Element.is_null()) {
    BOOST_LEAF_AUTO(Query, readRange(Element));
    return Operation(Query);
  }
  if (Json Element = findField(Body, "request_put"); !Element.is_null()) {
    BOOST_LEAF_AUTO(Put, readPut(Element));
    return Operation(Put);
  }
  if (Json Element = findField(Body, "request_delete_range");
      !Element.is_null()) {
    BOOST_LEAF_AUTO(Delete, readDelete(Element));
    return Operation(Delete);
  }
  return fail(ErrorCode::InvalidArgument, "unsupported operation in txn");
}

Result<std::vector<Operation>> readOperations(const Json &Body,
                                              const char *Name) {
  std::vector<Operation> Operations;
  for (const Json &Element : findField(Body, Name)) {
    BOOST_LEAF_AUTO(ParsedOperation, readOperation(Element));
    Operations.push_back(std::move(ParsedOperation));
  }
  return Operations;
}

void addNonZero(Json &Body, const char *Name, std::int64_t Value) {
  if (Value != 0)
    Body[Name] = std::to_string(Value);
}

Json toJson(const OperationResponse &Response, std::int64_t Revision) {
  auto WithHeader = [&](Json Body) {
    Body["header"] = Json{{"revision", std::to_string(Revision)}};
    return Body;
  };
  if (const auto *Range = std::get_if<RangeResponse>(&Response))
    return {{"response_range", WithHeader(standin::toJson(*Range))}};
  if (const auto *Delete = std::get_if<DeleteResponse>(&Response))
    return {{"response_delete_range", WithHeader(standin::toJson(*Delete))}};
  return {{"response_put", WithHeader(Json::object())}};
}

} // namespace

Result<std::int64_t> readInteger(const Json &Body, const char *Name) {
  Json Value = findField(Body, Name);
  if (Value.is_null())
    return 0;
  if (Value.is_number_integer())
    return Value.get<std::int64_t>();
  std::int64_t Number = 0;
  if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    const char *End = Text.data() + Text.size();
    auto Parsed = std::from_chars(Text.data(), End, Number);
    if (Parsed.ec == std::errc() && Parsed.ptr == End)
      return Number;
  }
  return fail(ErrorCode::InvalidArgument,
              std::string(Name) + " is not a 64-bit integer");
}

Result<RangeRequest> readRange(const Json &Body) {
  RangeRequest Query;
  BOOST_LEAF_ASSIGN(Query.Range_, readKeyRange(Body));
  BOOST_LEAF_ASSIGN(Query.Limit_, readInteger(Body, "limit"));
  BOOST_LEAF_ASSIGN(Query.KeysOnly_, readBool(Body, "keys_only"));
  BOOST_LEAF_ASSIGN(Query.CountOnly_, readBool(Body, "count_only"));
  for (const char *Name : {"revision", "sort_order", "sort_target",
                           "min_mod_revision", "max_mod_revision"})
    if (!findField(Body, Name).is_null())
      return fail(ErrorCode::InvalidArgument,
                  std::string("the stand-in does not support ") + Name);
  return Query;
}

Result<PutRequest> readPut(const Json &Body) {
  PutRequest Put;
  BOOST_LEAF_ASSIGN(Put.Key_, readBytes(Body, "key"));
  BOOST_LEAF_ASSIGN(Put.Value_, readBytes(Body, "value"));
  BOOST_LEAF_ASSIGN(Put.LeaseId_, readInteger(Body, "lease"));
  for (const char *Name : {"prev_kv", "ignore_value", "ignore_lease"})
    if (!findField(Body, Name).is_null())
      return fail(ErrorCode::InvalidArgument,
                  std::string("the stand-in does not support ") + Name);
  return Put;
}

Result<DeleteRequest> readDelete(const Json &Body) {
  DeleteRequest Delete;
  BOOST_LEAF_ASSIGN(Delete.Range_, readKeyRange(Body));
  if (!findField(Body, "prev_kv").is_null())
    return fail(ErrorCode::InvalidArgument,
                "the stand-in does not support prev_kv");
  return Delete;
}

Result<TransactionRequest> readTransaction(const Json &Body) {
  TransactionRequest Transaction;
  for (const Json &Element : findField(Body, "compare")) {
    BOOST_LEAF_AUTO(Comparison, readComparison(Element));
    Transaction.Comparisons_.push_back(std::move(Comparison));
  }
  BOOST_LEAF_ASSIGN(Transaction.Success_, readOperations(Body, "success"));
  BOOST_LEAF_ASSIGN(Transaction.Failure_, readOperations(Body, "failure"));
  return Transaction;
}

Result<WatchRequest> readWatch(const Json &Body) {
  Json Create = findField(Body, "create_request");
  if (!Create.is_object())
    return fail(ErrorCode::InvalidArgument, "create_request is missing");
  WatchRequest Request;
  BOOST_LEAF_ASSIGN(Request.Range_, readKeyRange(Create));
  BOOST_LEAF_ASSIGN(Request.StartRevision_,
                    readInteger(Create, "start_revision"));
  return Request;
}

Json responseHeader(std::int64_t Revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(Revision)},
          {"raft_term", "1"}};
}

Json toJson(const StoredPair &Pair) {
  Json Body = {{"key", base64Encode(Pair.Key_)}};
  addNonZero(Body, "create_revision", Pair.CreateRevision_);
  addNonZero(Body, "mod_revision", Pair.ModRevision_);
  addNonZero(Body, "version", Pair.Version_);
  addNonZero(Body, "lease", Pair.LeaseId_);
  if (!Pair.Value_.empty())
    Body["value"] = base64Encode(Pair.Value_);
  return Body;
}

Json toJson(const KeyEvent &Event) {
  Json Body = {{"kv", toJson(Event.Pair_)}};
  if (Event.Deleted_)
    Body["type"] = "DELETE";
  return Body;
}

Json toJson(const RangeResponse &Response) {
  Json Body = Json::object();
  for (const StoredPair &Pair : Response.Pairs_)
    Body["kvs"].push_back(toJson(Pair));
  addNonZero(Body, "count", Response.Count_);
  if (Response.More_)
    Body["more"] = true;
  return Body;
}

Json toJson(const DeleteResponse &Response) {
  Json Body = Json::object();
  addNonZero(Body, "deleted", Response.Deleted_);
  return Body;
}

Json toJson(const TransactionResponse &Response) {
  Json Body = {{"header", responseHeader(Response.Revision_)}};
  if (Response.Succeeded_)
    Body["succeeded"] = true;
  for (const OperationResponse &Element : Response.Responses_)
    Body["responses"].push_back(toJson(Element, Response.Revision_));
  return Body;
}

} // namespace amaranth::standin
