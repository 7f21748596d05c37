#include "Control/BenchVerifier.h"

#include "Support/Digest.h"

namespace amaranth::control {

namespace {

/// Hex characters of the prompt's digest at the start of a stand-in's output.
constexpr std::size_t MarkLength = 12;

std::string faultInResult(const BenchRequestKind &Kind,
                          const BenchRecord &Record) {
  const BenchAnswer &Answer = Record.Answer_;
  if (Answer.ResultName_ != Kind.Call_)
    return "the result of another call";
  if (Answer.ResultOrderId_ != Record.OrderId_)
    return "the result of another order";
  return "";
}

} // namespace

void BenchVerifier::check(const BenchRequestKind &Kind,
                          const BenchRecord &Record) {
  std::lock_guard Lock(Mutex_);
  std::string Fault = faultIn(Kind, Record);
  if (!Fault.empty())
    Faults_.push_back(Kind.Name_ + " request " +
                      std::to_string(Record.Request_->Number_) + ": " + Fault);
}

std::vector<std::string> BenchVerifier::faults() const {
  std::lock_guard Lock(Mutex_);
  return Faults_;
}

std::string BenchVerifier::faultIn(const BenchRequestKind &Kind,
                                   const BenchRecord &Record) {
  if (!Record.Answer_.Fault_.empty())
    return Record.Answer_.Fault_;
  if (Record.Answer_.Kind_ != AnswerKind::Whole)
    return "";
  return Kind.Call_.empty() ? faultInOutput(Kind, Record)
                            : faultInResult(Kind, Record);
}

std::string BenchVerifier::faultInOutput(const BenchRequestKind &Kind,
                                         const BenchRecord &Record) {
  const PlannedRequest &Request = *Record.Request_;
  const BenchAnswer &Answer = Record.Answer_;
  if (Answer.Tokens_ != Request.Tokens_)
    return "found " + std::to_string(Answer.Tokens_) + " tokens; expected " +
           std::to_string(Request.Tokens_);
  if (Kind.Direct_ && !Answer.Output_.starts_with(
                          sha256Hex(Request.Text_).substr(0, MarkLength)))
    return "the output of another input";
  // A service may put retrieved documents before the input, so that the prompt
  // is not known here; the same output for two inputs is wrong in any case.
  auto [Found, Inserted] = InputOfOutput_.emplace(
      Kind.Service_ + " " + Answer.Output_, Request.Text_);
  if (!Inserted && Found->second != Request.Text_)
    return "the output of another request";
  return "";
}

} // namespace amaranth::control
