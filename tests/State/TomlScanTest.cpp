#include "State/TomlScan.h"

#include <catch2/catch.hpp>

using namespace amaranth::state;

namespace {

int findFaultLine(std::string_view Text) {
  std::optional<DocumentFault> Fault = scanToml(Text);
  return Fault ? Fault->Line_ : 0;
}

} // namespace

// Guards against rejecting valid text, and against passing non-ASCII characters
// outside strings and comments to the parser.
TEST_CASE("non-ASCII characters are found outside strings and comments only") {
  for (const char *Valid :
       {"", "\xEF\xBB\xBF# é\na = \"é\"", "a = 'é\\' # é", "a = \"\\\"é\"",
        "a = \"\"\"\n\\\"é\"\"é\"\"\"\"\" # é\nb = 'é'",
        "a = '''\né''é''''\nb = [\"é\", 'é']", "a = \"\"\nb = \"é\"",
        "a = \"\"\"\"\"\"\nb = \"é\"", "\"é\" = 1"}) {
    CAPTURE(Valid);
    CHECK_FALSE(scanToml(Valid));
  }
  CHECK(findFaultLine("\n é") == 2);
  CHECK(findFaultLine("a = 1 é") == 1);
  CHECK(findFaultLine("a = '''\n''' é") == 2);
  CHECK(findFaultLine("a = \"\\\"é\" é") == 1);
  CHECK(findFaultLine("a = \"é\né = 1") == 2);
}

// Guards against a document whose keys or values nest so deeply that the stack
// of the thread that reads it overflows.
TEST_CASE("deep nesting is refused") {
  std::string Key = "a";
  for (int Depth = 0; Depth < 100000; ++Depth)
    Key += ".a";
  std::string Values(100000, '[');
  for (const std::string &Text : {Key + " = 1", "[" + Key + "]",
                                  "x = {" + Key + " = 1}", "x = " + Values})
    CHECK(readServiceDocument(Text).Faults_.size() == 1);
  CHECK_FALSE(
      scanToml("a = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0]"));
}

// Guards against a list of faults that is much larger than the document.
TEST_CASE("the list of faults is bounded") {
  std::string Text;
  for (int Key = 0; Key < 5000; ++Key)
    Text += "k" + std::to_string(Key) + " = 1\n";
  CHECK(readServiceDocument(Text).Faults_.size() == 1001);
}
