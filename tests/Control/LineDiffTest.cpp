#include "Control/LineDiff.h"

#include <catch2/catch.hpp>

#include <random>
#include <sstream>
#include <vector>

using namespace amaranth::control;

namespace {

std::vector<std::string> splitLines(const std::string &Text) {
  std::istringstream Stream(Text);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Applies the line diff \p Difference to \p Old.
std::string patch(const std::string &Old, const std::string &Difference) {
  std::vector<std::string> OldLines = splitLines(Old);
  std::size_t NextOldLine = 0;
  std::string Text;
  for (const std::string &Line : splitLines(Difference)) {
    if (Line.starts_with("@@ ")) {
      for (std::size_t Start = std::stoul(Line.substr(3));
           NextOldLine + 1 < Start;)
        Text += OldLines.at(NextOldLine++) + "\n";
      continue;
    }
    if (Line[0] != '+')
      REQUIRE(OldLines.at(NextOldLine++) == Line.substr(1));
    if (Line[0] != '-')
      Text += Line.substr(1) + "\n";
  }
  while (NextOldLine < OldLines.size())
    Text += OldLines[NextOldLine++] + "\n";
  return Text;
}

} // namespace

// Guards against a diff that omits a change.
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
