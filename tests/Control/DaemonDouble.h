/// \file
/// A fake of a daemon's operator interface, for tests of amaranthctl.
#ifndef AMARANTH_TESTS_CONTROL_DAEMONDOUBLE_H
#define AMARANTH_TESTS_CONTROL_DAEMONDOUBLE_H

#include "State/ServiceDocument.h"
#include "Transport/HttpServer.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::control {

constexpr const char *TestKey = "operator-key-5f1c";

/// Fake daemon that stores services by compare-and-swap on the revision and
/// records the writes that it receives. It does not recognise a repeated change
/// id, so that amaranthctl has to.
class DaemonDouble final {
public:
  DaemonDouble();

  std::string address() const;
  state::StoredDocument stored(const std::string &Name);
  /// Stores a document as another operator would.
  void store(const std::string &Name, const std::string &Text);

  /// Called before a change is handled; it may store another one.
  std::function<void()> BeforeChange_;
  /// Called after a change is handled; it may replace the reply.
  std::function<void(transport::HttpReply &)> AfterChange_;
  /// Called for each GET /v1/admin/services; true hides all revisions.
  std::function<bool()> HideServices_;
  nlohmann::json Members_ = nlohmann::json::array();

  std::mutex Mutex_;
  std::vector<std::string> ChangeIds_; ///< Of every change received, in order.
  std::vector<std::string> OtherWrites_; ///< "path body" of every other write.

private:
  using Handler = transport::HttpServer::Handler;

  void route(const char *Method, const char *Pattern, Handler Handle);
  transport::HttpReply handleChange(const transport::HttpRequest &Request);
  transport::HttpReply compareAndSwap(const transport::HttpRequest &Request);
  transport::HttpReply listServices();
  transport::HttpReply getService(const transport::HttpRequest &Request);
  transport::HttpReply getStatus();

  std::uint64_t NextRevision_ = 10;
  std::map<std::string, state::StoredDocument> Services_;
  transport::HttpServer Server_;
};

/// An entry of the member list in a status reply.
nlohmann::json memberJson(const std::string &Host, const std::string &Status,
                          const std::string &Address);

} // namespace amaranth::control

#endif
