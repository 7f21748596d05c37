#include "Coordination/TicketAuthority.h"

#include "Support/Digest.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace amaranth::coordination {

namespace {

constexpr std::string_view Prefix = "t1~";
constexpr std::size_t InstanceBytes = 8;
constexpr std::size_t NonceBytes = 8; ///< Random bytes after the instance.
/// Truncated to 128 bits to keep keys short; still sufficient against forgery.
constexpr std::size_t MacCharacters = 32;

std::string toUrlSafe(std::string Text) {
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  return Text;
}

std::string fromUrlSafe(std::string Text) {
  std::replace(Text.begin(), Text.end(), '-', '+');
  std::replace(Text.begin(), Text.end(), '_', '/');
  while (Text.size() % 4 != 0)
    Text.push_back('=');
  return Text;
}

bool isHostName(std::string_view Host) {
  if (Host.empty() || Host.size() > TicketAuthority::MaxHostSize)
    return false;
  return std::all_of(Host.begin(), Host.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '.' || C == '_' || C == '-';
  });
}

std::vector<std::string_view> split(std::string_view Text, char Separator) {
  std::vector<std::string_view> Fields;
  while (true) {
    std::size_t End = Text.find(Separator);
    Fields.push_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Fields;
    Text.remove_prefix(End + 1);
  }
}

std::optional<std::uint64_t> toNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Status != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

} // namespace

TicketAuthority::TicketAuthority(TicketAuthoritySettings Settings)
    : Settings_(std::move(Settings)), Instance_(randomHex(InstanceBytes)),
      Key_(hmacSha256Hex(Settings_.FleetSecret_, "amaranth ticket key")),
      WallStart_(unixTimeNow()), SteadyStart_(SteadyClock::now()) {}

Result<std::string> TicketAuthority::issue(std::uint64_t Incarnation,
                                           TicketClass Class) const {
  if (!isHostName(Settings_.Host_))
    return fail(ErrorCode::InvalidArgument, "host name cannot be in a ticket");
  Milliseconds Expiry = now() + Settings_.Lifetime_;
  std::string Content = Class == TicketClass::Journaled ? "j" : "v";
  Content += ':' + std::to_string(Incarnation);
  Content += ':' + std::to_string(Expiry.count());
  Content += ':' + Instance_ + randomHex(NonceBytes);
  Content += ':' + Settings_.Host_;
  std::string Encoded = toUrlSafe(base64Encode(Content));
  return std::string(Prefix) + Encoded + '~' + mac(Encoded);
}

Result<Ticket> TicketAuthority::check(std::string_view Text) const {
  if (!looksLikeTicket(Text))
    return fail(ErrorCode::InvalidArgument, "not a ticket");
  auto Parts = split(Text, '~');
  if (Parts.size() != 3 || !equalsConstantTime(mac(Parts[1]), Parts[2]))
    return fail(ErrorCode::Unauthenticated,
                "the ticket was not issued by this fleet");
  BOOST_LEAF_AUTO(Content, base64Decode(fromUrlSafe(std::string(Parts[1]))));
  auto Fields = split(Content, ':');
  if (Fields.size() != 5)
    return fail(ErrorCode::CorruptData, "malformed ticket");
  auto Incarnation = toNumber(Fields[1]);
  auto Expiry = toNumber(Fields[2]);
  bool KnownClass = Fields[0] == "j" || Fields[0] == "v";
  if (!KnownClass || !Incarnation || !Expiry || !isHostName(Fields[4]))
    return fail(ErrorCode::CorruptData, "malformed ticket");
  Ticket Parsed;
  Parsed.Class_ =
      Fields[0] == "j" ? TicketClass::Journaled : TicketClass::Volatile;
  Parsed.Incarnation_ = *Incarnation;
  Parsed.Expiry_ = Milliseconds(*Expiry);
  Parsed.Nonce_ = Fields[3];
  Parsed.Host_ = Fields[4];
  return Parsed;
}

bool TicketAuthority::isIssuedHere(const Ticket &Candidate) const {
  return Candidate.Host_ == Settings_.Host_ &&
         Candidate.Nonce_.starts_with(Instance_);
}

bool TicketAuthority::looksLikeTicket(std::string_view Text) {
  return Text.starts_with(Prefix);
}

Milliseconds TicketAuthority::now() const {
  if (Settings_.Clock_)
    return Settings_.Clock_();
  auto Elapsed = SteadyClock::now() - SteadyStart_;
  return WallStart_ + std::chrono::duration_cast<Milliseconds>(Elapsed);
}

std::string TicketAuthority::mac(std::string_view Content) const {
  return hmacSha256Hex(Key_, Content).substr(0, MacCharacters);
}

} // namespace amaranth::coordination
