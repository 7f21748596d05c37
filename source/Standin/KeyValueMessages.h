/// \file
/// The JSON encoding of the etcd v3 messages as its gRPC gateway uses it:
/// bytes in base64, 64-bit integers as strings, and no fields with default
/// values.
#ifndef AMARANTH_STANDIN_KEYVALUEMESSAGES_H
#define AMARANTH_STANDIN_KEYVALUEMESSAGES_H

#include "Standin/KeyValueState.h"

#include <nlohmann/json.hpp>

namespace amaranth::standin {

/// The parameters of a watch call.
struct WatchRequest {
  KeyRange Range_;
  std::int64_t StartRevision_ = 0; ///< 0 for future changes only.
};

/// Parse requests; InvalidArgument on malformed or unsupported input.
Result<RangeRequest> readRange(const nlohmann::json &Body);
Result<PutRequest> readPut(const nlohmann::json &Body);
Result<DeleteRequest> readDelete(const nlohmann::json &Body);
Result<TransactionRequest> readTransaction(const nlohmann::json &Body);
Result<WatchRequest> readWatch(const nlohmann::json &Body);

/// Reads the 64-bit integer field \p Name, encoded as a string or a number; 0
/// if absent.
Result<std::int64_t> readInteger(const nlohmann::json &Body, const char *Name);

nlohmann::json responseHeader(std::int64_t Revision);
nlohmann::json toJson(const StoredPair &Pair);
nlohmann::json toJson(const KeyEvent &Event);
nlohmann::json toJson(const RangeResponse &Response);
nlohmann::json toJson(const DeleteResponse &Response);
nlohmann::json toJson(const TransactionResponse &Response);

} // namespace amaranth::standin

#endif
