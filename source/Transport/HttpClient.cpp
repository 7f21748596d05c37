#include "Transport/HttpClient.h"

#include "Support/Log.h"
#include "Transport/ClientConnection.h"
#include "Transport/HttpHead.h"
#include "Transport/HttpReader.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace amaranth::transport {

using detail::ClientConnection;

namespace {

/// Limit for the head of a reply, and for each line between its chunks.
constexpr std::size_t MaxHeadBytes = 64 * 1024;
/// Body bytes that are parsed at a time; more than one read holds.
constexpr std::size_t MaxParsedBytes = 1024 * 1024;
/// Shorter bodies are sent in one packet with the head.
constexpr std::size_t MaxJoinedBody = 16 * 1024;

/// The path as it may stand in a request line.
std::string encodePath(const std::string &Path) {
  constexpr const char *Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char Character : Path) {
    auto Byte = static_cast<unsigned char>(Character);
    if (Byte > ' ' && Byte < 0x7f) {
      Encoded += Character;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte / 16];
    Encoded += Digits[Byte % 16];
  }
  return Encoded;
}

bool holdsLineEnd(const std::string &Text) {
  return Text.find_first_of("\r\n") != std::string::npos;
}

std::string requestHead(const HttpCall &Call) {
  std::string Head =
      Call.Method_ + " " + encodePath(Call.Path_) + " HTTP/1.1\r\n";
  appendField(Head, "Host", Call.Address_);
  for (const auto &[Name, Value] : Call.Headers_)
    if (!holdsLineEnd(Name) && !holdsLineEnd(Value))
      appendField(Head, Name, Value);
  if (!Call.Body_.empty())
    appendField(Head, "Content-Type", Call.ContentType_);
  if (!Call.Body_.empty() || Call.Method_ != "GET")
    appendField(Head, "Content-Length", std::to_string(Call.Body_.size()));
  return Head.append("\r\n");
}

HttpReply toReply(const HttpHead &Head) {
  HttpReply Reply;
  Reply.Status_ = Head.Status_;
  const std::string *ContentType = Head.find("Content-Type");
  Reply.ContentType_ = ContentType ? *ContentType : "";
  for (const auto &[Name, Value] : Head.Fields_)
    Reply.Headers_.add(Name, Value);
  return Reply;
}

/// Why a call that failed while a reply was read did so, unless time ran out or
/// the call was cancelled.
CallFailure toFailure(LinkStatus Status) {
  return Status == LinkStatus::TimedOut ? CallFailure::Silent
                                        : CallFailure::Reset;
}

/// One call on a connection.
class Exchange final {
public:
  Exchange(const HttpCall &Call, ClientConnection &Connection,
           std::size_t MaxReplyBytes)
      : Call_(Call), Connection_(Connection), MaxReplyBytes_(MaxReplyBytes),
        Reader_(std::in_place, HttpReader::Kind::Response, MaxHeadBytes,
                MaxParsedBytes) {}

  HttpOutcome run() {
    LinkStatus Sent = send();
    if (Sent != LinkStatus::Ok) {
      fail(toFailure(Sent));
      return std::move(Outcome_);
    }
    while (!Outcome_.Ok_ && !HasFailed_)
      receive();
    return std::move(Outcome_);
  }

  /// After run().
  bool mayReuseConnection() const {
    return Reader_->state() == HttpReader::State::Complete && !HasFailed_ &&
           Reader_->keepAlive() && Connection_.input().empty();
  }

private:
  LinkStatus send() {
    std::string Head = requestHead(Call_);
    bool IsJoined = Call_.Body_.size() <= MaxJoinedBody;
    if (IsJoined)
      Head += Call_.Body_;
    LinkStatus Sent =
        Connection_.write(Head, Call_.ProgressTimeout_, Call_.Deadline_);
    if (Sent == LinkStatus::Ok && !IsJoined)
      Sent = Connection_.write(Call_.Body_, Call_.ProgressTimeout_,
                               Call_.Deadline_);
    return Sent;
  }

  /// Reads once and takes what has arrived.
  void receive() {
    LinkStatus Read =
        Connection_.readSome(Call_.ProgressTimeout_, Call_.Deadline_);
    if (Read == LinkStatus::Ok)
      Reader_->feed(Connection_.input());
    else if (Read == LinkStatus::End && Reader_->started())
      Reader_->onEndOfStream();
    HttpReader::State State = Reader_->state();
    // A body without a length is complete when the connection ends in order.
    if (Read != LinkStatus::Ok && State != HttpReader::State::Complete)
      return fail(toFailure(Read));
    if (SteadyClock::now() >= Call_.Deadline_)
      return fail(CallFailure::DeadlineExceeded);
    if (State == HttpReader::State::HeadTooLarge ||
        State == HttpReader::State::BodyTooLarge)
      return failTooLarge(MaxHeadBytes);
    if (State == HttpReader::State::Malformed)
      return fail(CallFailure::Reset);
    if (!Reader_->hasHead() || !takeHead() || !takeBody())
      return;
    Outcome_.Ok_ = Reader_->state() == HttpReader::State::Complete;
  }

  /// Whether the reply's own head has arrived and is accepted.
  bool takeHead() {
    constexpr int FirstFinalStatus = 200;
    if (HasHead_)
      return true;
    // Another reply follows an interim one.
    while (Reader_->state() == HttpReader::State::Complete &&
           Reader_->head().Status_ < FirstFinalStatus) {
      Reader_.emplace(HttpReader::Kind::Response, MaxHeadBytes, MaxParsedBytes);
      Reader_->feed(Connection_.input());
    }
    if (!Reader_->hasHead())
      return false;
    HasHead_ = true;
    Outcome_.Reply_ = toReply(Reader_->head());
    if (!Call_.OnHead_ || Call_.OnHead_(Outcome_.Reply_))
      return true;
    fail(CallFailure::Mismatched);
    return false;
  }

  bool takeBody() {
    constexpr int StatusOk = 200;
    std::string Bytes = Reader_->takeBody();
    if (Call_.OnChunk_ && Outcome_.Reply_.Status_ == StatusOk) {
      if (Bytes.empty() || Call_.OnChunk_(Bytes))
        return true;
      fail(CallFailure::Cancelled);
      return false;
    }
    std::string &Body = Outcome_.Reply_.Body_;
    if (Bytes.size() > MaxReplyBytes_ - Body.size()) {
      failTooLarge(MaxReplyBytes_);
      return false;
    }
    Body += Bytes;
    return true;
  }

  void fail(CallFailure Failure) {
    HasFailed_ = true;
    Outcome_.Failure_ = Failure;
    if (Failure == CallFailure::Mismatched)
      return;
    if (Call_.Cancel_ && Call_.Cancel_->cancelled())
      Outcome_.Failure_ = CallFailure::Cancelled;
    else if (SteadyClock::now() >= Call_.Deadline_)
      Outcome_.Failure_ = CallFailure::DeadlineExceeded;
  }

  void failTooLarge(std::size_t Limit) {
    LogEvent(LogLevel::Warn, "reply_too_large")
        .field("address", Call_.Address_)
        .field("path", Call_.Path_)
        .field("limit", Limit);
    fail(CallFailure::Reset);
  }

  const HttpCall &Call_;
  ClientConnection &Connection_;
  std::size_t MaxReplyBytes_;
  std::optional<HttpReader> Reader_;
  HttpOutcome Outcome_;
  bool HasHead_ = false; ///< Of the reply itself, not of an interim one.
  bool HasFailed_ = false;
};

} // namespace

void CancelToken::cancel() {
  std::lock_guard Lock(Mutex_);
  Cancelled_ = true;
  if (Active_)
    Active_->interrupt();
}

bool CancelToken::cancelled() const {
  std::lock_guard Lock(Mutex_);
  return Cancelled_;
}

bool CancelToken::attach(ClientConnection *Connection) {
  std::lock_guard Lock(Mutex_);
  Active_ = Connection;
  return !Cancelled_;
}

HttpClient::HttpClient(const HttpClientSettings &Settings)
    : Settings_(Settings), Loop_(std::make_unique<Loop>()) {}

HttpClient::~HttpClient() = default;

HttpClient::Connection HttpClient::takeIdle(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  auto &IdleConnections = Idle_[Address];
  while (!IdleConnections.empty()) {
    Connection Candidate = std::move(IdleConnections.back());
    IdleConnections.pop_back();
    if (SteadyClock::now() - Candidate->idleSince() < Settings_.IdleLifetime_ &&
        Candidate->isReusable())
      return Candidate;
  }
  return nullptr;
}

HttpClient::Connection HttpClient::acquire(const HttpCall &Call) {
  Connection Acquired;
  if (!Call.FreshConnection_)
    Acquired = takeIdle(Call.Address_);
  if (Acquired)
    return Acquired;
  Acquired = std::make_unique<ClientConnection>(*Loop_);
  SteadyTime ConnectBy =
      std::min(Call.Deadline_, SteadyClock::now() + Settings_.ConnectTimeout_);
  if (!Acquired->connect(Call.Address_, ConnectBy))
    Acquired.reset();
  return Acquired;
}

void HttpClient::release(const std::string &Address, Connection Released) {
  Released->setIdleSince(SteadyClock::now());
  std::lock_guard Lock(Mutex_);
  auto &IdleConnections = Idle_[Address];
  if (IdleConnections.size() < Settings_.MaxIdlePerAddress_)
    IdleConnections.push_back(std::move(Released));
}

void HttpClient::dropIdle(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  Idle_.erase(Address);
}

HttpOutcome HttpClient::call(const HttpCall &Call) {
  HttpOutcome Outcome;
  if (remaining(Call.Deadline_).count() == 0)
    return Outcome;
  Connection Acquired = acquire(Call);
  if (!Acquired) {
    if (Call.Cancel_ && Call.Cancel_->cancelled())
      Outcome.Failure_ = CallFailure::Cancelled;
    else if (SteadyClock::now() >= Call.Deadline_)
      Outcome.Failure_ = CallFailure::DeadlineExceeded;
    return Outcome;
  }
  if (Call.Cancel_ && !Call.Cancel_->attach(Acquired.get())) {
    Call.Cancel_->attach(nullptr);
    Outcome.Failure_ = CallFailure::Cancelled;
    return Outcome;
  }
  Exchange Current(Call, *Acquired, Settings_.MaxReplyBytes_);
  Outcome = Current.run();
  if (Call.Cancel_)
    Call.Cancel_->attach(nullptr);
  if (Current.mayReuseConnection())
    release(Call.Address_, std::move(Acquired));
  return Outcome;
}

} // namespace amaranth::transport
