/// \file
/// The events of a streamed answer.
#ifndef AMARANTH_CONTROL_BENCHSTREAM_H
#define AMARANTH_CONTROL_BENCHSTREAM_H

#include <string>
#include <string_view>

namespace amaranth::control {

/// Parses server-sent events from chunks with arbitrary boundaries. Checks the
/// order of the tokens, and their count and digest against the end event.
class BenchStream final {
public:
  void append(std::string_view Chunk);

  /// Whether the "end" event has arrived.
  bool ended() const { return Ended_; }
  /// The JSON text of an "error" event, or empty.
  const std::string &problem() const { return Problem_; }
  const std::string &text() const { return Text_; }
  int tokens() const { return Tokens_; }
  /// The first contradiction in the stream, or empty.
  const std::string &fault() const { return Fault_; }

private:
  void parseLine(std::string_view Line);
  void handleEvent();
  void handleToken();
  void handleEnd();
  void recordFault(std::string Text);

  std::string PartialLine_;
  std::string EventName_;
  std::string EventData_;
  std::string Text_;
  std::string Problem_;
  std::string Fault_;
  int Tokens_ = 0;
  bool Ended_ = false;
};

} // namespace amaranth::control

#endif
