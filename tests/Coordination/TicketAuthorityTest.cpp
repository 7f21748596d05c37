#include "Coordination/IdempotencyKey.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

TicketAuthority makeAuthority(const std::string &Host,
                              const std::string &Secret) {
  TicketAuthoritySettings Settings;
  Settings.Host_ = Host;
  Settings.FleetSecret_ = Secret;
  return TicketAuthority(std::move(Settings));
}

} // namespace

// Guards against tickets whose content is lost or whose text needs escaping in
// URLs.
TEST_CASE("a ticket carries its home through URL-safe text") {
  auto Home = makeAuthority("host-1.dc_2", "secret");
  auto TicketText =
      capture([&] { return Home.issue(42, TicketClass::Volatile); });
  REQUIRE(TicketText);
  CHECK(TicketText->find_first_not_of(
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
            "UVWXYZ0123456789-_~") == std::string::npos);
  auto OtherHost = makeAuthority("host-2", "secret");
  auto Parsed = capture([&] { return OtherHost.check(*TicketText); });
  REQUIRE(Parsed);
  CHECK(Parsed->Host_ == "host-1.dc_2");
  CHECK(Parsed->Incarnation_ == 42);
  CHECK(Parsed->Class_ == TicketClass::Volatile);
  CHECK(Parsed->Expiry_ > Home.now());
  CHECK(Home.isIssuedHere(*Parsed));
  CHECK_FALSE(OtherHost.isIssuedHere(*Parsed));
  // A later process of the same host counts as another issuer.
  CHECK_FALSE(makeAuthority("host-1.dc_2", "secret").isIssuedHere(*Parsed));
}

// Guards against accepting forged or damaged tickets.
TEST_CASE("a ticket with any changed character is refused") {
  auto Home = makeAuthority("a", "secret");
  auto TicketText =
      capture([&] { return Home.issue(42, TicketClass::Journaled); });
  REQUIRE(TicketText);
  for (std::size_t I = 0; I < TicketText->size(); ++I) {
    std::string Changed = *TicketText;
    Changed[I] = Changed[I] == 'a' ? 'b' : 'a';
    CHECK_FALSE(capture([&] { return Home.check(Changed); }));
  }
  auto OtherFleet = makeAuthority("a", "other secret");
  CHECK_FALSE(capture([&] { return OtherFleet.check(*TicketText); }));
  auto BadHostName = makeAuthority("a/b", "secret");
  CHECK_FALSE(
      capture([&] { return BadHostName.issue(1, TicketClass::Journaled); }));
}

// Guards against keys of unbounded length, and against treating a damaged
// ticket as a plain key: a host that accepts the ticket could run the key as
// well.
TEST_CASE("a key is a ticket with a suffix or a plain key") {
  auto Home = makeAuthority("a", "secret");
  auto Ticket = capture([&] { return Home.issue(42, TicketClass::Journaled); });
  REQUIRE(Ticket);
  auto ParseKey = [&](const std::string &TicketText) {
    return capture([&] { return IdempotencyKey::parse(TicketText, Home); });
  };
  REQUIRE(ParseKey(*Ticket + ".order-1.2"));
  CHECK(ParseKey(*Ticket + ".order-1.2")->ticket()->Incarnation_ == 42);
  REQUIRE(ParseKey("plain.1"));
  CHECK_FALSE(ParseKey("plain.1")->ticket());
  for (const std::string &Malformed :
       {std::string(), std::string("a b"), std::string("a/b"),
        std::string("a\n"), std::string("\xc3\xa4"), std::string(321, 'a'),
        *Ticket, *Ticket + ".", *Ticket + "." + std::string(97, 'a')}) {
    REQUIRE_FALSE(ParseKey(Malformed));
    CHECK(ParseKey(Malformed).error().Code_ == ErrorCode::InvalidArgument);
  }
  std::string Damaged = *Ticket + ".x";
  Damaged[10] = Damaged[10] == 'a' ? 'b' : 'a';
  REQUIRE_FALSE(ParseKey(Damaged));
  CHECK(ParseKey(Damaged).error().Code_ == ErrorCode::Unauthenticated);
}

// Guards against two requests with the same identity because the boundary
// between their fields is ambiguous.
TEST_CASE("identities differ by account, service and key") {
  CHECK(requestIdentity("s", "a", "k") != requestIdentity("s", "b", "k"));
  CHECK(requestIdentity("s", "a", "k") != requestIdentity("t", "a", "k"));
  CHECK(requestIdentity("s", "ab", "c") != requestIdentity("s", "a", "bc"));
  ScopedKey Key{requestIdentity("s", "a", "k"), "k.1"};
  auto Parsed = capture([&] { return parseScopedKey(toText(Key)); });
  REQUIRE(Parsed);
  CHECK(Parsed->Identity_ == Key.Identity_);
  CHECK(Parsed->Key_ == "k.1");
  CHECK_FALSE(capture([] { return parseScopedKey("k.1"); }));
}
