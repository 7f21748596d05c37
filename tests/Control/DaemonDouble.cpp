#include "Control/DaemonDouble.h"

#include <catch2/catch.hpp>

namespace amaranth::control {

using nlohmann::json;
using transport::HttpReply;
using transport::HttpRequest;

namespace {

HttpReply reply(int Status, const json &Body) {
  HttpReply Reply;
  Reply.Status_ = Status;
  Reply.Body_ = Body.dump();
  return Reply;
}

json toJson(const state::StoredDocument &Stored) {
  return {{"name", Stored.Name_},
          {"revision", Stored.Revision_},
          {"deleted", Stored.Deleted_},
          {"change_id", Stored.ChangeId_},
          {"document", Stored.Text_}};
}

} // namespace

json memberJson(const std::string &Host, const std::string &Status,
                const std::string &Address) {
  return {{"host", Host},          {"data_centre", "north"},
          {"status", Status},      {"caller_address", Address},
          {"incarnation", "inc1"}, {"load", 0.5}};
}

DaemonDouble::DaemonDouble() : Server_({}) {
  const char *Service = "/v1/admin/services/([^/]+)";
  route("GET", "/v1/admin/services",
        [this](const HttpRequest &) { return listServices(); });
  route("GET", Service,
        [this](const HttpRequest &Request) { return getService(Request); });
  route("GET", "/v1/admin/status",
        [this](const HttpRequest &) { return getStatus(); });
  auto Change = [this](const HttpRequest &Request) {
    return handleChange(Request);
  };
  route("PUT", Service, Change);
  route("DELETE", Service, Change);
  auto RecordWrite = [this](const HttpRequest &Request) {
    std::lock_guard Lock(Mutex_);
    OtherWrites_.push_back(Request.Path_ + " " + Request.Body_);
    return reply(202, json::object());
  };
  route("POST", "/v1/admin/drain", RecordWrite);
  route("PUT", "/v1/admin/log-level", RecordWrite);
  REQUIRE(Server_.start());
}

void DaemonDouble::route(const char *Method, const char *Pattern,
                         Handler Handle) {
  Server_.route(
      Method, Pattern, [Handle](const HttpRequest &Request) -> HttpReply {
        if (Request.Headers_.get("Authorization") !=
            std::string("Bearer ") + TestKey)
          return reply(401, {{"title", "wrong key"}, {"outcome", "not_run"}});
        return Handle(Request);
      });
}

std::string DaemonDouble::address() const {
  return "127.0.0.1:" + std::to_string(Server_.port());
}

state::StoredDocument DaemonDouble::stored(const std::string &Name) {
  std::lock_guard Lock(Mutex_);
  return Services_[Name];
}

void DaemonDouble::store(const std::string &Name, const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  Services_[Name] = {Name, ++NextRevision_, false, "other-change", Text};
}

HttpReply DaemonDouble::handleChange(const HttpRequest &Request) {
  if (BeforeChange_)
    BeforeChange_();
  HttpReply Reply = compareAndSwap(Request);
  if (AfterChange_)
    AfterChange_(Reply);
  return Reply;
}

HttpReply DaemonDouble::compareAndSwap(const HttpRequest &Request) {
  std::lock_guard Lock(Mutex_);
  const std::string &Name = Request.PathParameters_.at(0);
  ChangeIds_.push_back(Request.Headers_.get("Change-Id"));
  state::StoredDocument &Current = Services_[Name];
  if (Request.Headers_.get("If-Match") != std::to_string(Current.Revision_))
    return reply(
        409, {{"revision", Current.Revision_}, {"document", Current.Text_}});
  if (Request.Body_.find("reject-me") != std::string::npos)
    return reply(422, {{"faults",
                        {{{"line", 7},
                          {"key", "k"},
                          {"found", "reject-me"},
                          {"allowed", "something else"}}}}});
  Current = {Name, ++NextRevision_, Request.Method_ == "DELETE",
             ChangeIds_.back(), Request.Body_};
  return reply(200, {{"name", Name}, {"revision", Current.Revision_}});
}

HttpReply DaemonDouble::listServices() {
  bool Hidden = HideServices_ && HideServices_();
  std::lock_guard Lock(Mutex_);
  json Services = json::array();
  for (const auto &[Name, Stored] : Services_)
    if (!Hidden)
      Services.push_back(toJson(Stored));
  return reply(200, {{"services", Services}});
}

HttpReply DaemonDouble::getService(const HttpRequest &Request) {
  std::lock_guard Lock(Mutex_);
  auto Found = Services_.find(Request.PathParameters_.at(0));
  if (Found == Services_.end() || Found->second.Revision_ == 0)
    return reply(404, {{"title", "no such service"}});
  return reply(200, toJson(Found->second));
}

HttpReply DaemonDouble::getStatus() {
  return reply(
      200, {{"host", "h1"},
            {"data_centre", "north"},
            {"incarnation", 7},
            {"state", "serving"},
            {"in_flight", 3},
            {"members", Members_},
            {"services", json::array()},
            {"key_value", {{"reachable", true}, {"calls", {{"range", 5}}}}}});
}

} // namespace amaranth::control
