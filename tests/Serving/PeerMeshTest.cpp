#include "Serving/PeerMesh.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace amaranth;
using namespace amaranth::serving;
using boost::asio::ip::tcp;

namespace {

struct SilentListener final : PeerListener {
  protocol::HostState ownState() override { return {}; }
  void onPeerState(const protocol::HostState &) override {}
  void onPeerMessage(const std::string &,
                     const protocol::FleetMessage &) override {}
  void onPeerLost(const std::string &) override {}
};

} // namespace

// Guards against a host that is never connected again because an invalid
// address replaced its valid one: the connecting task ended with it.
TEST_CASE("peer mesh: an invalid address does not replace a valid one") {
  transport::Loop Loop;
  SilentListener Listener;
  PeerMeshSettings Settings;
  Settings.ReconnectDelay_ = Milliseconds{20};
  PeerMesh Mesh(Loop, Settings, Listener);
  tcp::acceptor Acceptor(
      Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  int Accepted = 0;
  std::function<void()> AcceptAndClose = [&] {
    Acceptor.async_accept([&](boost::system::error_code Failure, tcp::socket) {
      if (Failure)
        return;
      ++Accepted;
      AcceptAndClose();
    });
  };
  AcceptAndClose();
  Mesh.addOrUpdatePeer(
      "b", "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
  Loop.run_for(Milliseconds{100});
  REQUIRE(Accepted > 0);
  for (const char *Invalid : {"", "nowhere", "127.0.0.1", "127.0.0.1:65536",
                              "[\"127.0.0.1:80\"]", "\xff\xfe"}) {
    INFO(Invalid);
    int Before = Accepted;
    Mesh.addOrUpdatePeer("b", Invalid);
    Mesh.addOrUpdatePeer("c", Invalid);
    Loop.run_for(Milliseconds{200});
    CHECK(Accepted > Before);
    CHECK(Mesh.peerCount() == 1);
  }
}
