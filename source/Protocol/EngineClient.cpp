#include "Protocol/EngineClient.h"

#include "Protocol/SseParser.h"
#include "Protocol/TargetCall.h"
#include "Support/Digest.h"

#include <nlohmann/json.hpp>

namespace amaranth::protocol {

using nlohmann::json;
using transport::CallFailure;

namespace {

constexpr json::error_handler_t ReplaceInvalidUtf8 =
    json::error_handler_t::replace;

/// Reads and verifies the events of one token stream.
class StreamReader final {
public:
  StreamReader(PipelineData &Data, TokenListener *Listener)
      : Data_(Data), Listener_(Listener) {}

  /// Returns false to end the stream.
  bool onChunk(std::string_view Chunk) {
    auto Status = Parser_.feed(
        Chunk, [this](const SseEvent &Event) { return onEvent(Event); });
    if (Status == SseParser::Status::TooLong)
      Fault_ = "line of the stream is too long";
    return Status == SseParser::Status::Continue;
  }

  bool complete() const { return Complete_; }
  bool callerDisconnected() const { return CallerDisconnected_; }
  /// The first fault found in the stream; empty if there is none.
  const std::string &fault() const { return Fault_; }

private:
  bool onEvent(const SseEvent &Event) {
    if (Complete_ || Event.Data_ == "[DONE]")
      return true;
    json Message = json::parse(Event.Data_, nullptr, false);
    if (!Message.is_object())
      return reject("event is not a JSON object");
    if (Message.contains("count"))
      return onEnd(Message);
    return onToken(Message);
  }

  bool onToken(const json &Message) {
    auto Index = Message.find("index");
    if (Index == Message.end() || !Index->is_number_integer())
      return reject("token without an index");
    auto Text = tokenText(Message);
    if (!Text)
      return reject("token without a text");
    auto Position = Index->get<std::int64_t>();
    if (Position < Data_.Tokens_)
      return true;
    if (Position > Data_.Tokens_)
      return reject("a token is missing before index " +
                    std::to_string(Position));
    if (Data_.Tokens_ >= Data_.MaxTokens_)
      return reject("more tokens than requested");
    Data_.Output_ += *Text;
    ++Data_.Tokens_;
    if (Listener_ && !Listener_->onToken(static_cast<int>(Position), *Text)) {
      CallerDisconnected_ = true;
      return false;
    }
    return true;
  }

  bool onEnd(const json &Message) {
    const json &Count = Message["count"];
    auto Digest = Message.find("digest");
    if (!Count.is_number_integer() || Digest == Message.end() ||
        !Digest->is_string())
      return reject("malformed end of stream");
    if (Count.get<std::int64_t>() != Data_.Tokens_)
      return reject("token count differs: received " +
                    std::to_string(Data_.Tokens_) + " of " + Count.dump());
    if (Digest->get_ref<const std::string &>() != sha256Hex(Data_.Output_))
      return reject("text digest differs");
    Complete_ = true;
    return true;
  }

  static const std::string *tokenText(const json &Message) {
    auto Choices = Message.find("choices");
    if (Choices == Message.end() || !Choices->is_array() || Choices->empty() ||
        !Choices->front().is_object())
      return nullptr;
    auto Text = Choices->front().find("text");
    if (Text == Choices->front().end())
      return nullptr;
    return Text->get_ptr<const std::string *>();
  }

  bool reject(std::string Fault) {
    Fault_ = std::move(Fault);
    return false;
  }

  PipelineData &Data_;
  TokenListener *Listener_;
  SseParser Parser_;
  bool Complete_ = false;
  bool CallerDisconnected_ = false;
  std::string Fault_;
};

std::string requestBody(const StageCall &Call, const PipelineData &Data) {
  json Request;
  Request["model"] = Call.Stage_.Model_;
  Request["prompt"] = generatePrompt(Data);
  Request["max_tokens"] = Data.MaxTokens_;
  Request["stream"] = true;
  Request["priority"] = Call.Priority_;
  Request["resume_from"] = Data.Tokens_;
  return Request.dump(-1, ' ', false, ReplaceInvalidUtf8);
}

} // namespace

std::string generatePrompt(const PipelineData &Data) {
  std::string Prompt;
  for (const RetrievedDocument &Document : Data.Documents_)
    Prompt.append(Document.Text_).push_back('\n');
  return Prompt.append(Data.Input_);
}

EngineClient::EngineClient(transport::HttpClient &Client) : Client_(Client) {}

StageReply EngineClient::run(const StageCall &Call, PipelineData &Data,
                             TokenListener *Listener) {
  transport::HttpCall Http = detail::toHttpCall(Call, "/v1/completions");
  Http.Body_ = requestBody(Call, Data);
  StreamReader Reader(Data, Listener);
  Http.OnChunk_ = [&](std::string_view Chunk) { return Reader.onChunk(Chunk); };
  std::string Body;
  StageReply Reply = detail::exchange(Client_, Http, Mismatches_, Body);
  if (!Reader.fault().empty())
    return {StageStatus::Corrupt, CallFailure::Cancelled, Reader.fault()};
  if (Reader.callerDisconnected())
    return {StageStatus::NoReply, CallFailure::Cancelled, "caller is gone"};
  if (Reply.Status_ == StageStatus::Ok && !Reader.complete())
    return {StageStatus::NoReply, CallFailure::Reset,
            "stream ended without its count and digest"};
  // The stream is complete and verified, so a connection failure after its end
  // does not matter.
  if (Reader.complete() && Reply.Status_ == StageStatus::NoReply)
    Reply = {StageStatus::Ok, CallFailure::NotSent, {}};
  return Reply;
}

} // namespace amaranth::protocol
