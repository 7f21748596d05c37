#include "OnceFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::MemberStatus;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

// Guards against a key that runs again when it is sent to its home and to
// another host, and against an answer that differs between them.
TEST_CASE("a ticketed key runs once wherever it is sent") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Key = Home.key();
  std::vector<std::future<RequestOutcome>> Answers;
  for (Node *At : {&Home, &Other, &Home, &Other})
    Answers.push_back(std::async(std::launch::async,
                                 [=] { return At->submit(Key, "{\"n\":1}"); }));
  for (auto &Answer : Answers) {
    RequestOutcome Outcome = Answer.get();
    CHECK(Outcome.Kind_ == OutcomeKind::Completed);
    CHECK(Outcome.Body_ == Judge::answerTo("{\"n\":1}"));
  }
  CHECK(All.Judge_.runs(Key) == 1);
}
