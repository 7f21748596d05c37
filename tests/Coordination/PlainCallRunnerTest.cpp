#include "Coordination/PlainCallRunner.h"

#include "Coordination/PredictedRouter.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

/// A plain service target with a fixed reply.
struct Service {
  Service() {
    Server_.route("POST", "/v1/calls/order",
                  [this](const transport::HttpRequest &Request) {
                    ++Calls_;
                    Silent_.wait(true);
                    transport::HttpReply Reply;
                    Reply.Status_ = Status_;
                    Reply.Headers_.add(
                        "X-Request-Id",
                        WrongRequestId_ ? "x"
                                        : Request.Headers_.get("X-Request-Id"));
                    if (Leaving_)
                      Reply.Headers_.add("X-Leaving", "true");
                    Reply.Body_ = "{\"done\":true}";
                    return Reply;
                  });
    REQUIRE(capture([this] { return Server_.start(); }));
  }

  std::atomic<int> Calls_ = 0;
  std::atomic<int> Status_ = 200;
  std::atomic<bool> Leaving_ = false;
  std::atomic<bool> WrongRequestId_ = false;
  std::atomic<bool> Silent_ = false;
  transport::HttpServer Server_{{.KeepAliveTimeout_ = Seconds{1}}};
};

struct Fixture {
  Fixture() {
    state::PlainCall Call;
    Call.Name_ = "order";
    for (auto &[Name, Endpoint] :
         {std::pair<std::string, Service &>{"a", A_},
          std::pair<std::string, Service &>{"b", B_}}) {
      state::Target Target;
      Target.Name_ = Name;
      Target.Address_ = "127.0.0.1:" + std::to_string(Endpoint.Server_.port());
      Document_->Targets_.push_back(Target);
      Call.Targets_.push_back(Name);
    }
    Document_->Calls_.push_back(Call);
  }

  RequestOutcome dispatch(const std::string &Body, bool IsIdempotent = false) {
    protocol::ForwardedRequest Request;
    Request.Service_ = "shop";
    Request.Call_ = "order";
    Request.RequestId_ = "r1";
    Request.Body_ = Body;
    SteadyTime Deadline = SteadyClock::now() + Seconds{20};
    return IsIdempotent ? Runner_.runIdempotent(Request, Deadline)
                        : Runner_.dispatch(Request, Deadline);
  }

  /// Returns the body of a call that the router sends to \p Preferred first.
  std::string bodyFor(Service &Preferred) {
    for (int I = 0;; ++I) {
      std::string Body = std::to_string(I);
      int CallsBefore = Preferred.Calls_;
      if (dispatch(Body).Kind_ == OutcomeKind::Completed &&
          Preferred.Calls_ > CallsBefore)
        return Body;
    }
  }

  Service A_;
  Service B_;
  std::shared_ptr<state::ServiceDocument> Document_ =
      std::make_shared<state::ServiceDocument>();
  transport::HttpClient Http_{{}};
  protocol::PlainServiceClient Client_{Http_};
  TargetTable Table_{{.Seed_ = 1}};
  PredictedRouter Router_{
      Table_, {.LateFactor_ = 1e6, .LateCeiling_ = Seconds{9}, .Seed_ = 1}};
  RetryBudget Budget_{{}};
  PlainCallRunner Runner_{
      {Client_, Router_, Table_, Budget_,
       [this](const std::string &) { return Document_; }},
      {.ProgressTimeout_ = Milliseconds{100}, .Sleep_ = [](Milliseconds) {}}};
};

} // namespace

// Guards against running a non-idempotent call twice, and against a false
// NotRun outcome, when the reply is missing, an error or of another request.
TEST_CASE("a call that may have run is never repeated") {
  Fixture F;
  std::string Body = F.bodyFor(F.A_);
  int CallsBefore = F.A_.Calls_ + F.B_.Calls_;
  OutcomeKind Expected = OutcomeKind::Unknown;
  SECTION("wrong echo") { F.A_.WrongRequestId_ = F.B_.WrongRequestId_ = true; }
  SECTION("silence") { F.A_.Silent_ = F.B_.Silent_ = true; }
  SECTION("server error") {
    F.A_.Status_ = F.B_.Status_ = 500;
    Expected = OutcomeKind::Failed;
  }
  RequestOutcome Outcome = F.dispatch(Body);
  for (Service *Endpoint : {&F.A_, &F.B_}) {
    Endpoint->Silent_ = false;
    Endpoint->Silent_.notify_all();
  }
  CHECK(Outcome.Kind_ == Expected);
  CHECK(F.A_.Calls_ + F.B_.Calls_ == CallsBefore + 1);
}

// Guards against refusing a call although another target could run it.
TEST_CASE("a call that certainly did not run goes to another target") {
  Fixture F;
  std::string Body = F.bodyFor(F.A_);
  SECTION("leaving") {
    F.A_.Status_ = 503;
    F.A_.Leaving_ = true;
  }
  SECTION("overloaded") { F.A_.Status_ = 429; }
  SECTION("connection refused") { F.A_.Server_.stop(); }
  int CallsBefore = F.B_.Calls_;
  CHECK(F.dispatch(Body).Kind_ == OutcomeKind::Completed);
  CHECK(F.B_.Calls_ == CallsBefore + 1);
}

// Guards against the outcomes Unknown and Failed for a call that no target ran.
TEST_CASE("a call that no target ran is not run") {
  Fixture F;
  F.A_.Status_ = F.B_.Status_ = 503;
  CHECK(F.dispatch("{}").Kind_ == OutcomeKind::NotRun);
  Fixture StoppedFixture;
  StoppedFixture.A_.Server_.stop();
  StoppedFixture.B_.Server_.stop();
  CHECK(StoppedFixture.dispatch("{}").Kind_ == OutcomeKind::NotRun);
}

// Guards against idempotent calls that fail because one target does.
TEST_CASE("an idempotent call is repeated at another target") {
  Fixture F;
  std::string Body = F.bodyFor(F.A_);
  F.A_.Status_ = 500;
  RequestOutcome Outcome = F.dispatch(Body, true);
  CHECK(Outcome.Kind_ == OutcomeKind::Completed);
  CHECK(Outcome.Body_ == "{\"done\":true}");
}
