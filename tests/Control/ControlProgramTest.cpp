#include "Control/ControlProgram.h"

#include "Control/DaemonDouble.h"
#include "Control/InputFile.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <set>
#include <sstream>

using namespace amaranth;
using namespace amaranth::control;
using nlohmann::json;
using transport::HttpReply;

namespace {

struct ProgramRun {
  int Code_;
  std::string Output_;
  std::string Messages_;
};

ProgramRun runProgram(const std::vector<std::string> &Arguments,
                      std::string Key = TestKey) {
  std::ostringstream Output, Messages;
  ControlProgram Program({"1.2.3", std::move(Key)}, Output, Messages);
  int Code = static_cast<int>(Program.run(Arguments));
  ProgramRun Result = {Code, Output.str(), Messages.str()};
  // No command may print the operator key.
  CHECK(Result.Output_.find(TestKey) == std::string::npos);
  CHECK(Result.Messages_.find(TestKey) == std::string::npos);
  UNSCOPED_INFO(Result.Output_ << Result.Messages_);
  return Result;
}

std::string document(const std::string &Name, int Deadline = 1000) {
  return "name = \"" + Name + "\"\ndeadline_ms = " + std::to_string(Deadline) +
         "\n[[call]]\nname = \"look-up\"\ntargets = [\"t\"]\n[[target]]\n"
         "name = \"t\"\naddress = \"127.0.0.1:9\"\ndata_centre = \"north\"\n";
}

/// A directory that is removed at the end of the test.
class TemporaryDirectory final {
public:
  TemporaryDirectory() {
    std::string Pattern =
        std::filesystem::temp_directory_path() / "amaranthctl.XXXXXX";
    REQUIRE(mkdtemp(Pattern.data()));
    Path_ = Pattern;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path_); }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::string File = Path_ + "/" + Name;
    REQUIRE(capture([&] { return writeOutputFile(File, Text); }));
    return File;
  }
  std::string Path_;
};

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

} // namespace

// Guards against exit code 0 for a mistyped command line, which would mislead
// scripts, and against an error that does not say what was expected.
TEST_CASE("a wrong command line exits with 2 and says what was expected") {
  struct Case {
    std::vector<std::string> Arguments_;
    std::string Expected_;
  };
  auto [Arguments, Expected] = GENERATE(values<Case>({
      {{}, "apply"},
      {{"frobnicate"}, "validate, diff"},
      {{"status", "--colour"}, "--json"},
      {{"status", "--daemon"}, "--daemon IP:PORT"},
      {{"status"}, "--daemon IP:PORT"},
      {{"status", "--daemon", "localhost:1"}, "IP:port"},
      {{"status", "extra", "--daemon", "127.0.0.1:1"}, "expected none"},
      {{"apply", "--daemon", "127.0.0.1:1"}, "expected FILE|DIR"},
      {{"get", "a/b", "--daemon", "127.0.0.1:1"}, "letters, digits"},
      {{"log-level", "loud", "--daemon", "127.0.0.1:1"}, "debug, info"},
      {{"status", "--daemon", "127.0.0.1:1", "--timeout-ms", "5s"},
       "milliseconds"},
      {{"drain", "--daemon", "127.0.0.1:1", "--daemon", "127.0.0.1:2"},
       "expected one"},
  }));
  ProgramRun Result = runProgram(Arguments);
  CHECK(Result.Code_ == 2);
  CHECK(contains(Result.Messages_, Expected));
  CHECK(Result.Output_.empty());
  CHECK(runProgram({"status", "--daemon", "127.0.0.1:1"}, "").Code_ == 2);
}

// Guards against help and version output that requires a daemon or a key.
TEST_CASE("help and version need neither daemon nor key") {
  CHECK(contains(runProgram({"--version"}, "").Output_, "1.2.3"));
  CHECK(contains(runProgram({"--help"}, "").Output_, "log-level"));
  ProgramRun Help = runProgram({"apply", "--help"}, "");
  CHECK(Help.Code_ == 0);
  CHECK(contains(Help.Output_, "--timeout-ms"));
  CHECK(contains(Help.Output_, "amaranthctl apply guides.toml"));
}

// Guards against a check that stops at the first fault or the first file.
TEST_CASE("validate reports every fault of every file") {
  TemporaryDirectory Directory;
  Directory.write("a.toml", document("a", 0) + "extra = 1\n");
  Directory.write("b.toml", document("b"));
  Directory.write("c.toml", document("b"));
  ProgramRun Result = runProgram({"validate", Directory.Path_}, "");
  CHECK(Result.Code_ == 1);
  CHECK(contains(Result.Messages_, "a.toml:2: deadline_ms: found 0"));
  CHECK(contains(Result.Messages_, "a.toml:10: target[0].\"extra\""));
  CHECK(contains(Result.Messages_, "c.toml:1: name: found \"b\""));
  CHECK(contains(Result.Output_, "b.toml: valid"));
  json Report =
      json::parse(runProgram({"validate", Directory.Path_, "--json"}).Output_);
  CHECK_FALSE(Report.at("valid").get<bool>());
  CHECK(Report.at("files").at(0).at("faults").size() == 2);
  CHECK(runProgram({"validate", Directory.Path_ + "/none.toml"}).Code_ == 1);
}

// Guards against writing a change twice, and against a diff that differs from
// the change.
TEST_CASE("apply creates and changes services and skips unchanged ones") {
  DaemonDouble Daemon;
  TemporaryDirectory Directory;
  auto RunOnDaemon = [&](std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--daemon", Daemon.address()});
    return runProgram(Arguments, "");
  };
  std::string Key = Directory.write("key", std::string(TestKey) + "\n");
  std::string File = Directory.write("a.toml", document("a"));
  CHECK(RunOnDaemon({"apply", File, "--key-file", Key}).Code_ == 0);
  CHECK(Daemon.stored("a").Text_ == document("a"));
  CHECK(contains(RunOnDaemon({"apply", File, "--key-file", Key}).Output_,
                 "a: unchanged"));
  Directory.write("a.toml", document("a", 2000));
  ProgramRun Diff = RunOnDaemon({"diff", File, "--key-file", Key, "--json"});
  json Entry = json::parse(Diff.Output_).at("services").at(0);
  CHECK(Entry.at("outcome") == "changed");
  CHECK(contains(Entry.at("diff"), "-deadline_ms = 1000\n+deadline_ms = 2000"));
  CHECK(Daemon.stored("a").Text_ == document("a"));
  CHECK(contains(RunOnDaemon({"apply", File, "--key-file", Key}).Output_,
                 "-deadline_ms = 1000\n+deadline_ms = 2000"));
  CHECK(RunOnDaemon({"get", "a", "--key-file", Key}).Output_ ==
        document("a", 2000));
  CHECK(RunOnDaemon({"delete", "a", "--key-file", Key}).Code_ == 0);
  CHECK(Daemon.stored("a").Deleted_);
  CHECK(RunOnDaemon({"get", "a", "--key-file", Key}).Code_ == 1);
  CHECK(RunOnDaemon({"delete", "b", "--key-file", Key}).Code_ == 1);
  // A deleted service is replaced under the revision of its tombstone.
  CHECK(RunOnDaemon({"apply", File, "--key-file", Key}).Code_ == 0);
  std::set<std::string> DistinctIds(Daemon.ChangeIds_.begin(),
                                    Daemon.ChangeIds_.end());
  CHECK(DistinctIds.size() == 4);
}

// Guards against overwriting another operator's change, and against an apply of
// many documents that does not report where it stopped.
TEST_CASE("a revision conflict exits with 3, shows the diff and stops apply") {
  DaemonDouble Daemon;
  TemporaryDirectory Directory;
  for (const char *Name : {"a", "b", "c"})
    Directory.write(std::string(Name) + ".toml", document(Name));
  Daemon.BeforeChange_ = [&] {
    if (Daemon.stored("a").Revision_ > 0)
      Daemon.store("b", document("b", 8));
  };
  ProgramRun Result =
      runProgram({"apply", Directory.Path_, "--daemon", Daemon.address()});
  CHECK(Result.Code_ == 3);
  CHECK(contains(Result.Output_, "a: applied"));
  CHECK(contains(Result.Output_, "b: conflict"));
  CHECK(contains(Result.Output_, "-deadline_ms = 8\n+deadline_ms = 1000"));
  CHECK(contains(Result.Output_, "c: not applied"));
  CHECK(Daemon.stored("b").Text_ == document("b", 8));
  CHECK(Daemon.stored("c").Revision_ == 0);
}

// Guards against applying part of a set that has an invalid document, and
// against dropping the faults that only the daemon finds.
TEST_CASE("nothing is applied if any document has a fault") {
  DaemonDouble Daemon;
  TemporaryDirectory Directory;
  Directory.write("a.toml", document("a"));
  std::string Bad = Directory.write("b.toml", document("b", 0));
  CHECK(runProgram({"apply", Directory.Path_, "--daemon", Daemon.address()})
            .Code_ == 1);
  CHECK(Daemon.stored("a").Revision_ == 0);
  Directory.write("b.toml", "# reject-me\n" + document("b"));
  ProgramRun Result = runProgram({"apply", Bad, "--daemon", Daemon.address()});
  CHECK(Result.Code_ == 1);
  CHECK(contains(Result.Messages_, "b.toml:7: k: found reject-me"));
}

// Guards against a second write and against reporting a conflict with the same
// change, when only the reply to its first attempt was lost.
TEST_CASE("a change whose reply was lost is repeated under its change id") {
  DaemonDouble Daemon;
  TemporaryDirectory Directory;
  std::string File = Directory.write("a.toml", document("a"));
  bool Overwrite = GENERATE(false, true);
  std::atomic<int> Attempts = 0;
  Daemon.BeforeChange_ = [&] {
    ++Attempts;
    Attempts.notify_all();
  };
  Daemon.AfterChange_ = [&](HttpReply &Reply) {
    if (Attempts > 1)
      return;
    if (Overwrite) {
      Daemon.store("a", document("a", 5));
      Reply.Status_ = 503;
      Reply.Body_ = R"({"title":"lost","outcome":"unknown"})";
      return;
    }
    // Withholds the reply until the change is sent again.
    Attempts.wait(1);
  };
  ProgramRun Result = runProgram({"apply", File, "--daemon", Daemon.address()});
  REQUIRE(Daemon.ChangeIds_.size() == 2);
  CHECK(Daemon.ChangeIds_[0] == Daemon.ChangeIds_[1]);
  if (Overwrite) {
    CHECK(Result.Code_ == 3);
    CHECK(contains(Result.Messages_, "may have taken effect"));
  } else {
    CHECK(Result.Code_ == 0);
    CHECK(contains(Result.Output_, "a: applied (revision 11)"));
  }
}

// Guards against reporting failure or success for a change that may have taken
// effect.
TEST_CASE(
    "a change whose replies leave its outcome open is reported as unknown") {
  DaemonDouble Daemon;
  TemporaryDirectory Directory;
  std::string File = Directory.write("a.toml", document("a"));
  Daemon.AfterChange_ = [](HttpReply &Reply) {
    Reply.Status_ = 503;
    Reply.Body_ = R"({"title":"lost","outcome":"unknown"})";
  };
  ProgramRun Result = runProgram({"apply", File, "--daemon", Daemon.address(),
                                  "--timeout-ms", "1500", "--json"});
  CHECK(Result.Code_ == 1);
  CHECK(contains(Result.Messages_, "may or may not have taken effect"));
  json Report = json::parse(Result.Output_);
  CHECK(Report.at("services").at(0).at("outcome") == "unknown");
  Daemon.AfterChange_ = [](HttpReply &Reply) {
    Reply.Status_ = 503;
    Reply.Body_ = R"({"title":"outage","outcome":"not_run"})";
  };
  Directory.write("a.toml", document("a", 6));
  Result = runProgram({"apply", File, "--daemon", Daemon.address()});
  CHECK(Result.Code_ == 1);
  CHECK(contains(Result.Output_, "a: not applied"));
}

// Guards against a wait that ends while a host serves the old document, that
// polls hosts which cannot reply, or that never ends.
TEST_CASE("apply --wait waits for alive and draining hosts only") {
  DaemonDouble First, Second;
  TemporaryDirectory Directory;
  std::string File = Directory.write("a.toml", document("a"));
  First.Members_ = {memberJson("h1", "alive", First.address()),
                    memberJson("h2", "draining", Second.address()),
                    memberJson("h3", "dead", "127.0.0.1:1"),
                    memberJson("h4", "suspect", "127.0.0.1:1")};
  std::atomic<int> Polls = 0;
  Second.HideServices_ = [&] { return ++Polls < 3; };
  for (int I = 0; I < 20; ++I)
    Second.store("a", document("a"));
  ProgramRun Result =
      runProgram({"apply", File, "--daemon", First.address(), "--wait"});
  CHECK(Result.Code_ == 0);
  CHECK(Polls == 3);
  CHECK(Result.Messages_ == "waiting for: h2\nin force on all 2 hosts\n");
  Second.HideServices_ = [] { return true; };
  Result = runProgram({"apply", File, "--daemon", First.address(), "--wait",
                       "--timeout-ms", "1500"});
  CHECK(Result.Code_ == 4);
  CHECK(contains(Result.Messages_, "not yet in force on: h2"));
}

// Guards against giving up while another daemon could reply, and against a
// write to another host than the one named.
TEST_CASE("reads go to the next daemon; drain and log-level to those named") {
  DaemonDouble Daemon;
  Daemon.Members_ = {memberJson("h1", "alive", Daemon.address())};
  ProgramRun Result = runProgram(
      {"status", "--daemon", "127.0.0.1:1", "--daemon", Daemon.address()});
  CHECK(Result.Code_ == 0);
  CHECK(contains(Result.Output_, "serving"));
  CHECK(runProgram({"drain", "--daemon", Daemon.address()}).Code_ == 0);
  CHECK(
      runProgram({"log-level", "debug", "--daemon", Daemon.address()}).Code_ ==
      0);
  CHECK(Daemon.OtherWrites_ ==
        std::vector<std::string>{"/v1/admin/drain ",
                                 "/v1/admin/log-level {\"level\":\"debug\"}"});
  CHECK(runProgram({"drain", "--daemon", "127.0.0.1:1"}).Code_ == 1);
  Result = runProgram({"status", "--daemon", Daemon.address()}, "another-key");
  CHECK(Result.Code_ == 1);
  CHECK(contains(Result.Messages_, "the operator key was refused"));
  CHECK_FALSE(contains(Result.Messages_, "another-key"));
}

// Guards against a crash or an empty table when a reply is malformed.
TEST_CASE("targets and burn print tables and reject malformed replies") {
  std::string Targets =
      R"({"targets":[{"service":"s","name":"t1","address":"127.0.0.1:9",
      "data_centre":"north","status":"live","in_flight":2,"queued_tokens":9,
      "load_age_ms":null,"latency_ms":1.23}]})";
  std::string Burn = R"({"host":"h1","created_at_ms":1,"short_window_s":300,
      "long_window_s":3600,"slot_s":30,"rows":[]})";
  bool Valid = GENERATE(true, false);
  transport::HttpServer Server({});
  auto Serve = [&](const char *Path, const std::string &Body) {
    Server.route("GET", Path, [Body, Valid](const transport::HttpRequest &) {
      HttpReply Reply;
      Reply.Body_ = Valid ? Body : "{\"targets\":[{}],\"rows\":3}";
      return Reply;
    });
  };
  Serve("/v1/admin/targets", Targets);
  Serve("/v1/admin/burn", Burn);
  REQUIRE(Server.start());
  std::string Address = "127.0.0.1:" + std::to_string(Server.port());
  TemporaryDirectory Directory;
  ProgramRun Table = runProgram({"targets", "--daemon", Address});
  ProgramRun Page = runProgram(
      {"burn", "--daemon", Address, "--html", Directory.Path_ + "/p"});
  CHECK(Table.Code_ == (Valid ? 0 : 1));
  CHECK(Page.Code_ == (Valid ? 0 : 1));
  CHECK(contains(Table.Output_, "t1") == Valid);
  CHECK(contains(Table.Output_, "1.2") == Valid);
  CHECK(contains(Page.Output_, "EXHAUSTED IN") == Valid);
  CHECK(std::filesystem::exists(Directory.Path_ + "/p") == Valid);
}
