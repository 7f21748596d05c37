/// \file
/// An engine in the test process, with faults.
#ifndef AMARANTH_TESTS_PROTOCOL_FAKEENGINE_H
#define AMARANTH_TESTS_PROTOCOL_FAKEENGINE_H

#include "State/ServiceDocument.h"
#include "Support/Digest.h"
#include "Transport/HttpServer.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <string>

namespace amaranth::testing {

/// Generates the tokens "t0 ", "t1 " and so on, up to max_tokens.
class FakeEngine final {
public:
  explicit FakeEngine(std::string Name, int Port = 0)
      : Name_(std::move(Name)), Server_(settings(Port)) {
    Server_.route("POST", "/v1/completions",
                  [this](const transport::HttpRequest &Request) {
                    return complete(Request);
                  });
    auto Started = capture([this] { return Server_.start(); });
    if (!Started)
      throw std::runtime_error(Started.error().Message_);
  }

  state::Target target() const {
    state::Target Target;
    Target.Name_ = Name_;
    Target.Address_ = "127.0.0.1:" + std::to_string(Server_.port());
    return Target;
  }

  static std::string text(int Tokens) {
    std::string Text;
    for (int I = 0; I < Tokens; ++I)
      Text += "t" + std::to_string(I) + " ";
    return Text;
  }

  ~FakeEngine() {
    if (Killer_.joinable())
      Killer_.join();
  }

  std::atomic<int> Calls_ = 0;
  std::atomic<int> CutAfter_ = -1;  ///< Ends the stream before this index.
  std::atomic<int> KillAt_ = -1;    ///< Stops the server at this index.
  std::atomic<int> SkipIndex_ = -1; ///< Leaves this token out.
  std::atomic<int> Overlap_ = 0;    ///< Repeats tokens before resume_from.
  std::atomic<int> Status_ = 200;   ///< Other statuses are sent without a body.
  std::atomic<bool> Leaving_ = false; ///< With Status_ 503.
  std::atomic<bool> WrongEcho_ = false;
  std::atomic<bool> WrongDigest_ = false;
  std::atomic<bool> Silent_ = false; ///< Holds replies until it is false.
  std::string lastPrompt() {
    std::lock_guard Lock(Mutex_);
    return LastPrompt_;
  }

private:
  static transport::HttpServerSettings settings(int Port) {
    transport::HttpServerSettings Settings;
    Settings.Port_ = Port;
    Settings.KeepAliveTimeout_ = Seconds{1};
    return Settings;
  }

  transport::HttpReply complete(const transport::HttpRequest &Request) {
    ++Calls_;
    transport::HttpReply Reply;
    std::string Echo = Request.Headers_.get("X-Request-Id");
    Reply.Headers_.add("X-Request-Id", WrongEcho_ ? "other/0/0" : Echo);
    Silent_.wait(true);
    Reply.Status_ = Status_;
    if (Leaving_)
      Reply.Headers_.add("X-Leaving", "true");
    if (Status_ != 200)
      return Reply;
    auto Body = nlohmann::json::parse(Request.Body_);
    {
      std::lock_guard Lock(Mutex_);
      LastPrompt_ = Body["prompt"].get<std::string>();
    }
    int Last = Body["max_tokens"].get<int>();
    int First = std::max(0, Body["resume_from"].get<int>() - Overlap_);
    Reply.ContentType_ = "text/event-stream";
    Reply.StreamBody_ = [this, First, Last](transport::ChunkSink &Sink) {
      stream(Sink, First, Last);
    };
    return Reply;
  }

  void stream(transport::ChunkSink &Sink, int First, int Last) {
    for (int I = First; I < Last; ++I) {
      if (I == KillAt_)
        Killer_ = std::thread([this] { Server_.stop(); });
      if (I == CutAfter_ || I == KillAt_)
        return;
      if (I == SkipIndex_)
        continue;
      nlohmann::json Token;
      Token["index"] = I;
      Token["choices"][0]["text"] = "t" + std::to_string(I) + " ";
      if (!Sink.write("data: " + Token.dump() + "\n\n"))
        return;
    }
    nlohmann::json End;
    End["choices"][0]["finish_reason"] = "stop";
    End["count"] = Last;
    End["digest"] = WrongDigest_ ? "00" : sha256Hex(text(Last));
    if (CutAfter_ != Last)
      Sink.write("data: " + End.dump() + "\n\ndata: [DONE]\n\n");
  }

  std::string Name_;
  std::mutex Mutex_;
  std::string LastPrompt_;
  transport::HttpServer Server_;
  std::thread Killer_;
};

} // namespace amaranth::testing

#endif
