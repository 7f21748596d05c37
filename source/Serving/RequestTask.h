/// \file
/// Serves one request from its head to its answer.
#ifndef AMARANTH_SERVING_REQUESTTASK_H
#define AMARANTH_SERVING_REQUESTTASK_H

#include "Serving/RequestScope.h"
#include "Serving/StageClient.h"

namespace amaranth::serving {

/// Serves one request: checks it against the configuration, runs it and
/// answers. True if the connection may carry another request.
transport::Awaitable<bool>
serveRequest(EntryContext &Context, StageClient &Stages,
             std::shared_ptr<transport::TcpLink> Caller,
             transport::HttpHead Head, std::string Body, SteadyTime Arrival,
             bool KeepAlive);

} // namespace amaranth::serving

#endif
