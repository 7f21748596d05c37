#include "Integration/WatchStream.h"

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

constexpr Seconds EventTimeout{30};
constexpr Seconds StreamTimeout{120};

} // namespace

WatchStream::WatchStream(const std::string &Address,
                         const Json &CreateRequest) {
  std::string Body = Json{{"create_request", CreateRequest}}.dump();
  Thread_ = std::thread([this, Address, Body] { run(Address, Body); });
}

WatchStream::~WatchStream() {
  Cancel_.cancel();
  Thread_.join();
}

std::optional<Json> WatchStream::result(std::size_t Index) {
  std::unique_lock Lock(Mutex_);
  Changed_.wait_for(Lock, EventTimeout,
                    [&] { return Results_.size() > Index || Ended_; });
  if (Results_.size() <= Index)
    return std::nullopt;
  return Results_[Index];
}

bool WatchStream::waitEnd() {
  std::unique_lock Lock(Mutex_);
  return Changed_.wait_for(Lock, EventTimeout, [&] { return Ended_; });
}

void WatchStream::run(const std::string &Address, const std::string &Body) {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Path_ = "/v3/watch";
  Call.Body_ = Body;
  Call.Deadline_ = SteadyClock::now() + StreamTimeout;
  Call.ProgressTimeout_ = StreamTimeout;
  Call.Cancel_ = &Cancel_;
  Call.OnChunk_ = [this](std::string_view Chunk) {
    parseLines(Chunk);
    return true;
  };
  Client.call(Call);
  std::lock_guard Lock(Mutex_);
  Ended_ = true;
  Changed_.notify_all();
}

void WatchStream::parseLines(std::string_view Chunk) {
  std::lock_guard Lock(Mutex_);
  UnparsedBytes_.append(Chunk);
  std::size_t End = 0;
  while ((End = UnparsedBytes_.find('\n')) != std::string::npos) {
    Results_.push_back(Json::parse(UnparsedBytes_.substr(0, End)).at("result"));
    UnparsedBytes_.erase(0, End + 1);
  }
  Changed_.notify_all();
}

} // namespace amaranth::integration
