/// \file
/// Event loop thread for Cap'n Proto RPC.
#ifndef AMARANTH_TRANSPORT_RPCLOOP_H
#define AMARANTH_TRANSPORT_RPCLOOP_H

#include "Support/Time.h"

#include <kj/async-io.h>

#include <cassert>
#include <string>
#include <thread>
#include <utility>

namespace amaranth::transport {

/// One thread with a KJ event loop. KJ objects belong to the thread of their
/// loop; other threads reach them by run() only. Owners of objects on the loop
/// destroy them by run() before the loop is destroyed.
class RpcLoop final {
public:
  RpcLoop();
  ~RpcLoop();
  RpcLoop(const RpcLoop &) = delete;
  RpcLoop &operator=(const RpcLoop &) = delete;

  /// Runs \p Work on the loop's thread and returns its result; if that is a
  /// promise, waits for it. Blocks the calling thread, which must not be the
  /// loop's own. Exceptions of \p Work pass to the caller.
  template <typename F> auto run(F &&Work) {
    assert(std::this_thread::get_id() != Thread_.get_id());
    return Executor_->executeSync(std::forward<F>(Work));
  }

  /// Timer of the loop; for its thread only.
  kj::Timer &timer();

  /// Network of the loop; for its thread only.
  kj::Network &network();

  /// Parses a numeric "ip:port" or "[ip]:port"; null if \p Text is anything
  /// else. Names are not looked up. For the loop's thread only.
  kj::Maybe<kj::Own<kj::NetworkAddress>> parseAddress(const std::string &Text);

private:
  kj::AsyncIoContext *Io_ = nullptr;
  kj::Own<const kj::Executor> Executor_;
  /// Stops the loop; belongs to its thread.
  kj::Own<kj::PromiseFulfiller<void>> Stop_;
  std::thread Thread_;
};

/// \p Time as a KJ duration.
inline kj::Duration toDuration(Milliseconds Time) {
  return Time.count() * kj::MILLISECONDS;
}

} // namespace amaranth::transport

#endif
