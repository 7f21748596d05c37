#include "Control/AdminClient.h"

#include "Control/AdminReplies.h"
#include "Control/InputFile.h"
#include "State/TextRule.h"

#include <algorithm>
#include <thread>

namespace amaranth::control {

namespace {

using transport::CallFailure;
using transport::HttpCall;
using transport::HttpOutcome;
using transport::HttpReply;

constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusFirstServerError = 500;
constexpr Milliseconds ProgressTimeout{2000};
/// Pause before the daemons are tried again, after each has been tried once.
constexpr Milliseconds RetryPause{100};
constexpr Milliseconds DefaultTimeout{30000};

bool refusesKey(const HttpReply &Reply) {
  return Reply.Status_ == StatusUnauthorized ||
         Reply.Status_ == StatusForbidden;
}

std::string prefixAddress(const std::string &Address, const std::string &Text) {
  return "daemon " + Address + ": " + Text;
}

std::string describeOutcome(const HttpOutcome &Outcome) {
  if (Outcome.Ok_)
    return describeProblem(Outcome.Reply_);
  switch (Outcome.Failure_) {
  case CallFailure::NotSent:
    return "no connection";
  case CallFailure::Reset:
    return "the connection closed before the reply";
  case CallFailure::Silent:
    return "no reply within " + std::to_string(ProgressTimeout.count()) + " ms";
  case CallFailure::DeadlineExceeded:
    return "no reply before the timeout";
  default:
    return transport::toString(Outcome.Failure_);
  }
}

/// The error for a reply whose status reports a failure.
auto failUnexpectedReply(const std::string &Address, const HttpReply &Reply) {
  std::string Text = prefixAddress(Address, describeProblem(Reply));
  if (refusesKey(Reply))
    return fail(ErrorCode::Unauthenticated,
                Text + "; the operator key was refused");
  if (Reply.Status_ == StatusNotFound)
    return fail(ErrorCode::NotFound, Text);
  return fail(ErrorCode::Unavailable, Text);
}

/// Whether the attempt may have changed the document.
bool mayBeApplied(const HttpOutcome &Outcome) {
  if (Outcome.Ok_)
    return !isNotRun(Outcome.Reply_);
  return Outcome.Failure_ != CallFailure::NotSent;
}

/// A reply below 500 decides the call; after any other outcome the next daemon
/// is tried.
bool isDecisive(const HttpOutcome &Outcome) {
  return Outcome.Ok_ && Outcome.Reply_.Status_ < StatusFirstServerError;
}

} // namespace

AdminClient::AdminClient(AdminClientSettings Settings)
    : Settings_(std::move(Settings)), Client_({}) {}

HttpCall AdminClient::makeCall(const std::string &Address,
                               const std::string &Method,
                               const std::string &Path) const {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_.add("Authorization", "Bearer " + Settings_.OperatorKey_);
  Call.Deadline_ = Settings_.Deadline_;
  Call.ProgressTimeout_ = ProgressTimeout;
  Call.FreshConnection_ = Method != "GET";
  return Call;
}

Result<std::string> AdminClient::getFrom(const std::string &Address,
                                         const std::string &Path) {
  HttpOutcome Outcome = Client_.call(makeCall(Address, "GET", Path));
  if (!Outcome.Ok_)
    return fail(ErrorCode::Unavailable,
                prefixAddress(Address, describeOutcome(Outcome)));
  if (Outcome.Reply_.Status_ != StatusOk)
    return failUnexpectedReply(Address, Outcome.Reply_);
  return std::move(Outcome.Reply_.Body_);
}

Result<std::string> AdminClient::get(const std::string &Path) {
  std::string Failures;
  for (const std::string &Address : Settings_.Daemons_) {
    HttpOutcome Outcome = Client_.call(makeCall(Address, "GET", Path));
    if (Outcome.Ok_ && Outcome.Reply_.Status_ == StatusOk)
      return std::move(Outcome.Reply_.Body_);
    if (isDecisive(Outcome))
      return failUnexpectedReply(Address, Outcome.Reply_);
    Failures += (Failures.empty() ? "" : "; ") +
                prefixAddress(Address, describeOutcome(Outcome));
  }
  return fail(ErrorCode::Unavailable, Failures);
}

Result<ChangeReply> AdminClient::change(const DocumentChange &Change) {
  BOOST_LEAF_AUTO(Path, servicePath(Change.Name_));
  ChangeReply Answer;
  std::string Failures;
  while (remaining(Settings_.Deadline_).count() > 0) {
    Failures.clear();
    for (const std::string &Address : Settings_.Daemons_) {
      HttpCall Call = makeCall(Address, Change.Method_, Path);
      Call.Headers_.add("If-Match", std::to_string(Change.ExpectedRevision_));
      Call.Headers_.add("Change-Id", Change.ChangeId_);
      Call.ContentType_ = "application/toml";
      Call.Body_ = Change.Text_;
      HttpOutcome Outcome = Client_.call(Call);
      if (isDecisive(Outcome)) {
        if (refusesKey(Outcome.Reply_) && !Answer.EarlierAttemptUnknown_)
          return failUnexpectedReply(Address, Outcome.Reply_);
        Answer.Reply_ = std::move(Outcome.Reply_);
        return Answer;
      }
      Answer.EarlierAttemptUnknown_ |= mayBeApplied(Outcome);
      Failures += (Failures.empty() ? "" : "; ") +
                  prefixAddress(Address, describeOutcome(Outcome));
    }
    if (!Answer.EarlierAttemptUnknown_)
      return fail(ErrorCode::Unavailable, Failures);
    std::this_thread::sleep_for(
        std::min(RetryPause, remaining(Settings_.Deadline_)));
  }
  if (!Answer.EarlierAttemptUnknown_)
    return fail(ErrorCode::Unavailable,
                "the timeout passed before the change could be sent");
  return fail(ErrorCode::Ambiguous,
              "change " + Change.ChangeId_ + " of " + Change.Name_ +
                  " may or may not have taken effect (" + Failures +
                  "); see \"amaranthctl get " + Change.Name_ + " --json\"");
}

Result<void> AdminClient::send(const std::string &Address,
                               const std::string &Method,
                               const std::string &Path, std::string Body) {
  HttpCall Call = makeCall(Address, Method, Path);
  Call.Body_ = std::move(Body);
  HttpOutcome Outcome = Client_.call(Call);
  if (!Outcome.Ok_)
    return fail(Outcome.Failure_ == CallFailure::NotSent
                    ? ErrorCode::Unavailable
                    : ErrorCode::Ambiguous,
                prefixAddress(Address, describeOutcome(Outcome)));
  constexpr int SuccessClass = 2;
  constexpr int StatusClass = 100;
  if (Outcome.Reply_.Status_ / StatusClass != SuccessClass)
    return failUnexpectedReply(Address, Outcome.Reply_);
  return {};
}

void declareConnectionOptions(OptionParser &Parser) {
  Parser.addValue("daemon", "IP:PORT",
                  "Caller address of a daemon; repeat it to name others that "
                  "are tried on failure");
  Parser.addValue("key-file", "FILE",
                  "File with the operator key; otherwise it is taken from the "
                  "environment variable AMARANTH_OPERATOR_KEY");
  Parser.addValue("timeout-ms", "N",
                  "Longest time for the whole command (default 30000)");
}

namespace {

Result<std::string> readOperatorKey(const CommandContext &Context) {
  std::string Key = Context.OperatorKey_;
  if (Context.Options_.has("key-file")) {
    BOOST_LEAF_ASSIGN(Key, readInputFile(Context.Options_.value("key-file")));
  }
  Key.erase(Key.find_last_not_of(" \t\r\n") + 1);
  if (Key.empty())
    return fail(ErrorCode::InvalidArgument,
                "no operator key; expected --key-file FILE or the environment "
                "variable AMARANTH_OPERATOR_KEY");
  bool Printable = std::all_of(Key.begin(), Key.end(),
                               [](char C) { return C > ' ' && C <= '~'; });
  if (!Printable)
    return fail(ErrorCode::InvalidArgument,
                "the operator key (not shown) is malformed; expected one line "
                "of printable ASCII characters without spaces");
  return Key;
}

} // namespace

Result<AdminClientSettings>
readConnectionSettings(const CommandContext &Context) {
  AdminClientSettings Settings;
  Settings.Daemons_ = Context.Options_.values("daemon");
  if (Settings.Daemons_.empty())
    return fail(ErrorCode::InvalidArgument,
                "no daemon; expected --daemon IP:PORT at least once");
  for (const std::string &Address : Settings.Daemons_)
    if (!state::AddressRule.Accepts_(Address))
      return fail(ErrorCode::InvalidArgument, "--daemon: found \"" + Address +
                                                  "\"; expected " +
                                                  state::AddressRule.Allowed_);
  BOOST_LEAF_AUTO(Timeout,
                  Context.Options_.milliseconds("timeout-ms", DefaultTimeout));
  BOOST_LEAF_ASSIGN(Settings.OperatorKey_, readOperatorKey(Context));
  Settings.Deadline_ = SteadyClock::now() + Timeout;
  return Settings;
}

Result<std::string> servicePath(const std::string &Name) {
  if (!state::NameRule.Accepts_(Name))
    return fail(ErrorCode::InvalidArgument, "found service name \"" + Name +
                                                "\"; expected " +
                                                state::NameRule.Allowed_);
  return "/v1/admin/services/" + Name;
}

} // namespace amaranth::control
