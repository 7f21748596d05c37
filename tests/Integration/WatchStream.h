/// \file
/// Client of a watch on the key-value stand-in.
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

/// Reads a watch on its own thread until it is destroyed.
class WatchStream final {
public:
  WatchStream(const std::string &Address, const nlohmann::json &CreateRequest);
  ~WatchStream();
  WatchStream(const WatchStream &) = delete;
  WatchStream &operator=(const WatchStream &) = delete;

  /// Waits for line \p Index and returns its "result"; std::nullopt if the
  /// stream ends first or the line does not arrive within 30 s.
  std::optional<nlohmann::json> result(std::size_t Index);

  /// Waits up to 30 s for the end of the stream; true if it ended.
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
