#include "Control/BenchVerifier.h"

#include "Support/Digest.h"

namespace amaranth::control {

namespace {

/// The output of a stand-in starts with this many hex digits of the digest of
/// its prompt.
constexpr std::size_t DigestPrefixLength = 12;

std::string findResultFault(const BenchRequestKind &Kind,
                            const BenchRecord &Record) {
  const BenchAnswer &Answer = Record.Answer_;
  if (Answer.ResultCall_ != Kind.Call_)
    return "the result of another call";
  if (Answer.ResultOrderId_ != Record.OrderId_)
    return "the result of another order";
  return "";
}

} // namespace

void BenchVerifier::check(const BenchRequestKind &Kind,
                          const BenchRecord &Record) {
  std::lock_guard Lock(Mutex_);
  std::string Fault = findFault(Kind, Record);
  if (!Fault.empty())
    Faults_.push_back(Kind.Name_ + " request " +
                      std::to_string(Record.Request_->Number_) + ": " + Fault);
}

std::vector<std::string> BenchVerifier::faults() const {
  std::lock_guard Lock(Mutex_);
  return Faults_;
}

std::string BenchVerifier::findFault(const BenchRequestKind &Kind,
                                     const BenchRecord &Record) {
  if (!Record.Answer_.Fault_.empty())
    return Record.Answer_.Fault_;
  if (Record.Answer_.Kind_ != AnswerKind::Complete)
    return "";
  return Kind.Call_.empty() ? findOutputFault(Kind, Record)
                            : findResultFault(Kind, Record);
}

std::string BenchVerifier::findOutputFault(const BenchRequestKind &Kind,
                                           const BenchRecord &Record) {
  const PlannedRequest &Request = *Record.Request_;
  const BenchAnswer &Answer = Record.Answer_;
  if (Answer.Tokens_ != Request.MaxTokens_)
    return "found " + std::to_string(Answer.Tokens_) + " tokens; expected " +
           std::to_string(Request.MaxTokens_);
  if (Kind.Direct_ &&
      !Answer.Output_.starts_with(
          sha256Hex(Request.Input_).substr(0, DigestPrefixLength)))
    return "the output of another input";
  // A service may put retrieved documents before the input, so the prompt is
  // not known here. The same output for two inputs is wrong with any prompt.
  auto [Found, Inserted] = InputByOutput_.emplace(
      Kind.Service_ + " " + Answer.Output_, Request.Input_);
  if (!Inserted && Found->second != Request.Input_)
    return "the output of another request";
  return "";
}

} // namespace amaranth::control
