/// \file
/// A watch on the key-value stand-in, as a test receives it.
#ifndef AMARANTH_TESTS_INTEGRATION_WATCHSTREAM_H
#define AMARANTH_TESTS_INTEGRATION_WATCHSTREAM_H

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace amaranth::integration {

/// Keeps a watch open on its own thread until it is destroyed.
class WatchStream final {
public:
  WatchStream(const std::string &Address, const nlohmann::json &CreateRequest);
  ~WatchStream();
  WatchStream(const WatchStream &) = delete;
  WatchStream &operator=(const WatchStream &) = delete;

  /// The content of "result" of line \p Index, waiting for it; nothing if the
  /// stream ends before or stays silent for 30 s.
  std::optional<nlohmann::json> result(std::size_t Index);

  /// True once the other side has ended the stream; waits up to 30 s.
  bool waitEnd();

private:
  void run(const std::string &Address, const std::string &Body);
  void parseLines(std::string_view Chunk);

  transport::CancelToken Cancel_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<nlohmann::json> Results_;
  std::string UnparsedBytes_;
  bool Ended_ = false;
  std::thread Thread_;
};

} // namespace amaranth::integration

#endif
