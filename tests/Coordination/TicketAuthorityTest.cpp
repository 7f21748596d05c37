#include "Coordination/IdempotencyKey.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

TicketAuthority authority(const std::string &Host, const std::string &Secret) {
  TicketAuthoritySettings Settings;
  Settings.Host_ = Host;
  Settings.FleetSecret_ = Secret;
  return TicketAuthority(std::move(Settings));
}

} // namespace

// Guards against tickets that lose their content or that URLs would alter.
TEST_CASE("a ticket carries its home through URL-safe text") {
  auto Home = authority("host-1.dc_2", "secret");
  auto Text = capture([&] { return Home.issue(42, TicketClass::Volatile); });
  REQUIRE(Text);
  CHECK(Text->find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
                                "UVWXYZ0123456789-_~") == std::string::npos);
  auto Other = authority("host-2", "secret");
  auto Read = capture([&] { return Other.check(*Text); });
  REQUIRE(Read);
  CHECK(Read->Host_ == "host-1.dc_2");
  CHECK(Read->Incarnation_ == 42);
  CHECK(Read->Class_ == TicketClass::Volatile);
  CHECK(Read->Expiry_ > Home.now());
  CHECK(Home.isOwn(*Read));
  CHECK_FALSE(Other.isOwn(*Read));
  // A later process of the same host is another issuer.
  CHECK_FALSE(authority("host-1.dc_2", "secret").isOwn(*Read));
}

// Guards against forged or damaged tickets.
TEST_CASE("a ticket with any changed character is refused") {
  auto Home = authority("a", "secret");
  auto Text = capture([&] { return Home.issue(42, TicketClass::Journaled); });
  REQUIRE(Text);
  for (std::size_t I = 0; I < Text->size(); ++I) {
    std::string Changed = *Text;
    Changed[I] = Changed[I] == 'a' ? 'b' : 'a';
    CHECK_FALSE(capture([&] { return Home.check(Changed); }));
  }
  auto Foreign = authority("a", "other secret");
  CHECK_FALSE(capture([&] { return Foreign.check(*Text); }));
  auto Unfit = authority("a/b", "secret");
  CHECK_FALSE(capture([&] { return Unfit.issue(1, TicketClass::Journaled); }));
}

// Guards against keys without bounds, and against reading a damaged ticket as
// a plain key, which another host could run under its ticket.
TEST_CASE("a key is a ticket with a suffix or a plain key") {
  auto Home = authority("a", "secret");
  auto Ticket = capture([&] { return Home.issue(42, TicketClass::Journaled); });
  REQUIRE(Ticket);
  auto Parse = [&](const std::string &Text) {
    return capture([&] { return IdempotencyKey::parse(Text, Home); });
  };
  REQUIRE(Parse(*Ticket + ".order-1.2"));
  CHECK(Parse(*Ticket + ".order-1.2")->ticket()->Incarnation_ == 42);
  REQUIRE(Parse("plain.1"));
  CHECK_FALSE(Parse("plain.1")->ticket());
  for (const std::string &Bad :
       {std::string(), std::string("a b"), std::string("a/b"),
        std::string("a\n"), std::string("\xc3\xa4"), std::string(321, 'a'),
        *Ticket, *Ticket + ".", *Ticket + "." + std::string(97, 'a')}) {
    REQUIRE_FALSE(Parse(Bad));
    CHECK(Parse(Bad).error().Code_ == ErrorCode::InvalidArgument);
  }
  std::string Damaged = *Ticket + ".x";
  Damaged[10] = Damaged[10] == 'a' ? 'b' : 'a';
  REQUIRE_FALSE(Parse(Damaged));
  CHECK(Parse(Damaged).error().Code_ == ErrorCode::Unauthenticated);
}

// Guards against two requests with one identity through fields that run into
// each other.
TEST_CASE("identities differ by account, service and key") {
  CHECK(requestIdentity("s", "a", "k") != requestIdentity("s", "b", "k"));
  CHECK(requestIdentity("s", "a", "k") != requestIdentity("t", "a", "k"));
  CHECK(requestIdentity("s", "ab", "c") != requestIdentity("s", "a", "bc"));
  ScopedKey Key{requestIdentity("s", "a", "k"), "k.1"};
  auto Read = capture([&] { return parseScopedKey(toText(Key)); });
  REQUIRE(Read);
  CHECK(Read->Identity_ == Key.Identity_);
  CHECK(Read->Key_ == "k.1");
  CHECK_FALSE(capture([] { return parseScopedKey("k.1"); }));
}
