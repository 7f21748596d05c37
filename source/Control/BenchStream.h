/// \file
/// The events of a streamed answer.
#ifndef AMARANTH_CONTROL_BENCHSTREAM_H
#define AMARANTH_CONTROL_BENCHSTREAM_H

#include <string>
#include <string_view>

namespace amaranth::control {

/// Reads server-sent events from chunks cut anywhere and checks the order of
/// the tokens and the count and digest at the end.
class BenchStream final {
public:
  void append(std::string_view Chunk);

  /// The "end" event has arrived.
  bool ended() const { return Ended_; }
  /// The JSON text of an "error" event, or empty.
  const std::string &problem() const { return Problem_; }
  const std::string &text() const { return Text_; }
  int tokens() const { return Tokens_; }
  /// The first contradiction in the stream, or empty.
  const std::string &fault() const { return Fault_; }

private:
  void takeLine(std::string_view Line);
  void finishEvent();
  void onToken();
  void onEnd();
  void setFault(std::string Text);

  std::string Unread_;
  std::string Event_;
  std::string Data_;
  std::string Text_;
  std::string Problem_;
  std::string Fault_;
  int Tokens_ = 0;
  bool Ended_ = false;
};

} // namespace amaranth::control

#endif
