#include "Daemon/TokenStream.h"

#include "Support/Digest.h"

#include <nlohmann/json.hpp>

namespace amaranth::daemon {

namespace {

std::string dump(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

TokenStream::TokenStream(transport::ChunkSink &Sink) : Sink_(Sink) {}

bool TokenStream::onToken(int Index, const std::string &Text) {
  return writeEvent("token", dump({{"index", Index}, {"text", Text}}));
}

void TokenStream::finish(const protocol::PipelineData &Data) {
  writeEvent("end", dump({{"count", Data.Tokens_},
                          {"digest", sha256Hex(Data.Output_)}}));
}

void TokenStream::fail(const protocol::Problem &Problem) {
  writeEvent("error", toJson(Problem));
}

bool TokenStream::writeEvent(const char *Event, const std::string &Data) {
  std::string Chunk = "event: ";
  Chunk.append(Event).append("\ndata: ").append(Data).append("\n\n");
  return Sink_.write(Chunk);
}

} // namespace amaranth::daemon
