/// \file
/// The operator interface of a daemon, for tests of the command line.
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

/// Plays a daemon: keeps services by compare-and-swap on the revision and
/// records what it was asked. It does not recognise a repeated change id, so
/// that the command line has to.
class DaemonDouble final {
public:
  DaemonDouble();

  std::string address() const;
  state::StoredDocument stored(const std::string &Name);
  /// Stores a document as another operator would.
  void store(const std::string &Name, const std::string &Text);

  /// Runs before a change is handled; it may store another one.
  std::function<void()> BeforeChange_;
  /// Runs after a change is handled; it may replace the reply.
  std::function<void(transport::HttpReply &)> AfterChange_;
  /// Called for each GET /v1/admin/services; true hides all revisions.
  std::function<bool()> HideServices_;
  nlohmann::json Members_ = nlohmann::json::array();

  std::mutex Mutex_;
  std::vector<std::string> ChangeIds_; ///< Of every change received.
  std::vector<std::string> Posts_;     ///< Paths and bodies of other writes.

private:
  using Handler = transport::HttpServer::Handler;

  void route(const char *Method, const char *Pattern, Handler Handle);
  transport::HttpReply change(const transport::HttpRequest &Request);
  transport::HttpReply swap(const transport::HttpRequest &Request);
  transport::HttpReply listServices();
  transport::HttpReply getService(const transport::HttpRequest &Request);
  transport::HttpReply status();

  std::uint64_t NextRevision_ = 10;
  std::map<std::string, state::StoredDocument> Services_;
  transport::HttpServer Server_;
};

/// A member of a status reply.
nlohmann::json member(const std::string &Host, const std::string &Status,
                      const std::string &Address);

} // namespace amaranth::control

#endif
