/// \file
/// Functions shared by the clients of all target protocols.
#ifndef AMARANTH_PROTOCOL_TARGETCALL_H
#define AMARANTH_PROTOCOL_TARGETCALL_H

#include "Protocol/StageClient.h"

#include <atomic>
#include <cstdint>

namespace amaranth::protocol::detail {

/// Header that identifies a call and that the reply must echo.
constexpr const char *RequestIdHeader = "X-Request-Id";

/// The HTTP call for \p Call, without its body.
transport::HttpCall toHttpCall(const StageCall &Call, std::string Path);

/// Maps an HTTP reply other than 2xx to a status, by its status code and
/// headers.
StageReply classifyRefusal(const transport::HttpReply &Reply);

/// The result of an attempt that got no HTTP reply.
StageReply noReply(transport::CallFailure Failure);

/// Makes the call and checks the echoed request id and the status. \p Body
/// receives the body of a reply with the right id, whatever its status. A reply
/// with another id is counted in \p Mismatches and its connection is closed.
StageReply exchange(transport::HttpClient &Client,
                    const transport::HttpCall &Call,
                    std::atomic<std::uint64_t> &Mismatches, std::string &Body);

} // namespace amaranth::protocol::detail

#endif
