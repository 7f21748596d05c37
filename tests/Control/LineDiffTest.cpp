#include "Control/LineDiff.h"

#include <catch2/catch.hpp>

#include <random>
#include <sstream>
#include <vector>

using namespace amaranth::control;

namespace {

std::vector<std::string> linesOf(const std::string &Text) {
  std::istringstream Stream(Text);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Applies \p Difference to \p Old.
std::string patch(const std::string &Old, const std::string &Difference) {
  std::vector<std::string> From = linesOf(Old);
  std::size_t Next = 0;
  std::string Text;
  for (const std::string &Line : linesOf(Difference)) {
    if (Line.starts_with("@@ ")) {
      for (std::size_t Start = std::stoul(Line.substr(3)); Next + 1 < Start;)
        Text += From.at(Next++) + "\n";
      continue;
    }
    if (Line[0] != '+')
      REQUIRE(From.at(Next++) == Line.substr(1));
    if (Line[0] != '-')
      Text += Line.substr(1) + "\n";
  }
  while (Next < From.size())
    Text += From[Next++] + "\n";
  return Text;
}

} // namespace

// Guards against a difference that hides a change from the operator.
TEST_CASE("a difference leads from the old text to the new one") {
  std::mt19937 Random(20240);
  auto MakeText = [&Random] {
    std::string Text;
    for (std::uint32_t Count = Random() % 30; Count > 0; --Count)
      Text += std::string(1, static_cast<char>('a' + Random() % 4)) + "\n";
    return Text;
  };
  for (int Round = 0; Round < 300; ++Round) {
    std::string Old = MakeText(), New = MakeText();
    REQUIRE(patch(Old, lineDiff(Old, New)) == New);
  }
  CHECK(lineDiff("a\nb\n", "a\nb\n").empty());
  CHECK(lineDiff("1\n2\n3\n4\n5\n", "1\n2\n3\n4\nx\n") ==
        "@@ 2, 2 @@\n 2\n 3\n 4\n-5\n+x\n");
}
