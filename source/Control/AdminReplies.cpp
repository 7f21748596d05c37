#include "Control/AdminReplies.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace amaranth::control {

namespace {

using nlohmann::json;

/// Runs \p Reader on the parsed text and turns the exceptions by which the JSON
/// library reports missing and wrong fields into errors.
template <typename F>
auto readJson(std::string_view Text, F &&Reader)
    -> Result<decltype(Reader(std::declval<const json &>()))> {
  try {
    return Reader(json::parse(Text));
  } catch (const json::exception &Exception) {
    return fail(ErrorCode::CorruptData,
                std::string("unexpected reply from the daemon: ") +
                    Exception.what());
  }
}

/// A string or number as text; "-" for null.
std::string scalarText(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  return Value.is_null() ? "-" : Value.dump();
}

/// A number of milliseconds, rounded to tenths; "-" if it is not known.
std::string formatMilliseconds(const json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number())
    return "-";
  constexpr double TenthsPerUnit = 10;
  return json(std::round(Found->get<double>() * TenthsPerUnit) / TenthsPerUnit)
      .dump();
}

MemberStatus readMember(const json &Value) {
  MemberStatus Member;
  Value.at("host").get_to(Member.Host_);
  Value.at("data_centre").get_to(Member.DataCentre_);
  Value.at("caller_address").get_to(Member.CallerAddress_);
  Value.at("status").get_to(Member.Status_);
  Member.Incarnation_ = scalarText(Value.at("incarnation"));
  if (Value.contains("load") && Value.at("load").is_number())
    Value.at("load").get_to(Member.Load_);
  return Member;
}

ServiceStatus readService(const json &Value) {
  ServiceStatus Service;
  Value.at("name").get_to(Service.Name_);
  Value.at("revision").get_to(Service.Revision_);
  Value.at("deleted").get_to(Service.Deleted_);
  return Service;
}

TargetStatus readTarget(const json &Value) {
  TargetStatus Target;
  Value.at("service").get_to(Target.Service_);
  Value.at("name").get_to(Target.Name_);
  Value.at("address").get_to(Target.Address_);
  Value.at("data_centre").get_to(Target.DataCentre_);
  Value.at("status").get_to(Target.Status_);
  Value.at("in_flight").get_to(Target.InFlight_);
  Value.at("queued_tokens").get_to(Target.QueuedTokens_);
  Target.LoadAge_ = formatMilliseconds(Value, "load_age_ms");
  Target.Latency_ = formatMilliseconds(Value, "latency_ms");
  return Target;
}

template <typename F> auto readArray(const json &Array, F &&ReadEntry) {
  std::vector<decltype(ReadEntry(Array))> Entries;
  for (const json &Value : Array)
    Entries.push_back(ReadEntry(Value));
  return Entries;
}

/// A text field, or empty. Control characters are replaced, so that a reply
/// cannot send escape sequences to the terminal.
std::string textField(const json &Problem, const char *Name) {
  auto Found = Problem.find(Name);
  if (Found == Problem.end() || !Found->is_string())
    return "";
  std::string Text = Found->get<std::string>();
  for (char &C : Text)
    if (static_cast<unsigned char>(C) < ' ' || C == 0x7f)
      C = '?';
  return Text;
}

json parseProblem(const transport::HttpReply &Reply) {
  json Problem = json::parse(Reply.Body_, nullptr, false);
  return Problem.is_object() ? Problem : json::object();
}

} // namespace

Result<HostStatus> parseHostStatus(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    HostStatus Status;
    Value.at("host").get_to(Status.Host_);
    Value.at("data_centre").get_to(Status.DataCentre_);
    Status.Incarnation_ = scalarText(Value.at("incarnation"));
    Value.at("state").get_to(Status.State_);
    Value.at("in_flight").get_to(Status.InFlight_);
    Status.Members_ = readArray(Value.at("members"), readMember);
    Status.Services_ = readArray(Value.at("services"), readService);
    const json &KeyValue = Value.at("key_value");
    KeyValue.at("reachable").get_to(Status.KeyValueReachable_);
    if (KeyValue.contains("calls"))
      KeyValue.at("calls").get_to(Status.KeyValueCalls_);
    return Status;
  });
}

Result<std::vector<ServiceStatus>> parseServices(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    return readArray(Value.at("services"), readService);
  });
}

Result<state::StoredDocument> parseStoredDocument(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    state::StoredDocument Stored;
    Value.at("name").get_to(Stored.Name_);
    Value.at("revision").get_to(Stored.Revision_);
    Value.at("change_id").get_to(Stored.ChangeId_);
    Value.at("deleted").get_to(Stored.Deleted_);
    Value.at("document").get_to(Stored.Text_);
    return Stored;
  });
}

Result<std::vector<TargetStatus>> parseTargets(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    return readArray(Value.at("targets"), readTarget);
  });
}

Result<std::uint64_t> parseRevision(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    return Value.at("revision").get<std::uint64_t>();
  });
}

Result<std::string> parseConflictDocument(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    const json &Document = Value.at("document");
    return Document.is_null() ? std::string() : Document.get<std::string>();
  });
}

Result<std::vector<state::DocumentFault>> parseFaults(std::string_view Json) {
  return readJson(Json, [](const json &Value) {
    return readArray(Value.at("faults"), [](const json &Entry) {
      return state::DocumentFault{Entry.at("line").get<int>(),
                                  Entry.at("key").get<std::string>(),
                                  Entry.at("found").get<std::string>(),
                                  Entry.at("allowed").get<std::string>()};
    });
  });
}

std::string describeProblem(const transport::HttpReply &Reply) {
  json Problem = parseProblem(Reply);
  std::string Text = "HTTP status " + std::to_string(Reply.Status_);
  for (const char *Name : {"title", "detail"}) {
    std::string Value = textField(Problem, Name);
    if (!Value.empty())
      Text += ": " + Value;
  }
  return Text;
}

bool isNotRun(const transport::HttpReply &Reply) {
  return textField(parseProblem(Reply), "outcome") == "not_run";
}

} // namespace amaranth::control
