/// \file
/// The JSON form of the etcd v3 messages, as its gRPC gateway writes them:
/// base64 bytes, 64-bit integers as strings, and fields with default values
/// left out.
#ifndef AMARANTH_STANDIN_KEYVALUEMESSAGES_H
#define AMARANTH_STANDIN_KEYVALUEMESSAGES_H

#include "Standin/KeyValueState.h"

#include <nlohmann/json.hpp>

namespace amaranth::standin {

/// A watch as its client asks for it.
struct WatchRequest {
  KeyRange Range_;
  std::int64_t StartRevision_ = 0; ///< 0 for changes from now on.
};

/// Readers of requests; InvalidArgument on malformed or unsupported input.
Result<RangeQuery> readRange(const nlohmann::json &Body);
Result<PutWrite> readPut(const nlohmann::json &Body);
Result<DeleteWrite> readDelete(const nlohmann::json &Body);
Result<KeyTransaction> readTransaction(const nlohmann::json &Body);
Result<WatchRequest> readWatch(const nlohmann::json &Body);

/// The 64-bit integer \p Name of \p Body, written as a string or a number; 0
/// if absent.
Result<std::int64_t> readInteger(const nlohmann::json &Body, const char *Name);

nlohmann::json responseHeader(std::int64_t Revision);
nlohmann::json toJson(const StoredPair &Pair);
nlohmann::json toJson(const KeyEvent &Event);
nlohmann::json toJson(const RangeAnswer &Answer);
nlohmann::json toJson(const DeleteAnswer &Answer);
nlohmann::json toJson(const TransactionAnswer &Answer);

} // namespace amaranth::standin

#endif
