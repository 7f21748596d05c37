#include "State/TomlReader.h"

#include "State/TomlScan.h"

#include <cmath>
#include <sstream>

namespace amaranth::state {

namespace {

constexpr std::size_t MaxQuotedBytes = 80;
/// Maximum number of faults listed for one document. Without it, the list could
/// be much larger than the document.
constexpr std::size_t MaxFaults = 1000;

int lineOfRegion(const toml::source_region &Region) {
  return static_cast<int>(Region.begin.line);
}

const char *typeName(const toml::node &Node) {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a string";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a number";
  case toml::node_type::boolean:
    return "a boolean";
  default:
    return "a date or time";
  }
}

std::string describeHiddenText(std::string_view Text) {
  return "a string of " + std::to_string(Text.size()) + " bytes (not shown)";
}

std::string describeText(std::string_view Text, const TextRule &Rule) {
  return Rule.Secret_ ? describeHiddenText(Text) : quoteFound(Text);
}

std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

std::string describeRange(const NumberRange &Range) {
  return "a number above " + formatNumber(Range.ExclusiveMinimum_) +
         (Range.IsMaximumExclusive_ ? " and below " : " and at most ") +
         formatNumber(Range.Maximum_);
}

bool isInRange(const NumberRange &Range, double Value) {
  if (!std::isfinite(Value) || Value <= Range.ExclusiveMinimum_)
    return false;
  return Range.IsMaximumExclusive_ ? Value < Range.Maximum_
                                   : Value <= Range.Maximum_;
}

bool isKeyStart(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '_' || C == '-' || C == '"' ||
         C == '\'';
}

/// Returns the first line that looks like a table header without a key, or 1.
int findBadHeaderLine(std::string_view Text) {
  int Line = 1;
  for (std::size_t Start = 0; Start < Text.size(); ++Line) {
    std::size_t End = std::min(Text.find('\n', Start), Text.size());
    std::string_view LineText = Text.substr(Start, End - Start);
    std::size_t Bracket = LineText.find_first_not_of(" \t");
    std::size_t Key = LineText.find_first_not_of(" \t[");
    bool IsHeader =
        Bracket != std::string_view::npos && LineText[Bracket] == '[';
    if (IsHeader &&
        (Key == std::string_view::npos || !isKeyStart(LineText[Key])))
      return Line;
    Start = End + 1;
  }
  return 1;
}

std::string elementPath(std::string_view Key, std::size_t Index) {
  return std::string(Key) + "[" + std::to_string(Index) + "]";
}

} // namespace

std::optional<toml::table> parseToml(std::string_view Text,
                                     std::vector<DocumentFault> &Faults) {
  if (std::optional<DocumentFault> Fault = scanToml(Text)) {
    Faults.push_back(std::move(*Fault));
    return std::nullopt;
  }
  // toml++ reports errors as exceptions; this converts them to faults.
  try {
    return toml::parse(Text);
  } catch (const toml::parse_error &Failure) {
    Faults.push_back({lineOfRegion(Failure.source()), "",
                      std::string(Failure.description()), "valid TOML"});
  } catch (const detail::TomlAssertion &) {
    Faults.push_back({findBadHeaderLine(Text), "",
                      "a table header that does not start with a key",
                      "valid TOML"});
  }
  return std::nullopt;
}

std::string quoteFound(std::string_view Text) {
  std::string Quoted = "\"";
  for (unsigned char C : Text.substr(0, MaxQuotedBytes)) {
    if (C == '"' || C == '\\')
      Quoted.push_back('\\');
    bool Printable = C >= ' ' && C <= '~';
    Quoted.push_back(Printable ? static_cast<char>(C) : '?');
  }
  Quoted.push_back('"');
  if (Text.size() > MaxQuotedBytes)
    Quoted += "...";
  return Quoted;
}

TomlReader::TomlReader(const toml::table &Table, std::string Path,
                       std::vector<DocumentFault> &Faults)
    : Table_(&Table), Path_(std::move(Path)), Faults_(&Faults) {}

const toml::node *TomlReader::findNode(const char *Key, Presence Needed) {
  RequestedKeys_.insert(Key);
  const toml::node *Node = Table_->get(Key);
  if (!Node && Needed == Presence::Required)
    addFault(Key, "nothing", "this key is required");
  return Node;
}

bool TomlReader::readText(const char *Key, Presence Needed,
                          const TextRule &Rule, std::string &Value) {
  const toml::node *Node = findNode(Key, Needed);
  if (!Node)
    return false;
  const auto *Text = Node->as_string();
  if (!Text) {
    addFault(Key, typeName(*Node), "a string");
    return false;
  }
  if (!Rule.Accepts_(Text->get())) {
    addFault(Key, describeText(Text->get(), Rule), Rule.Allowed_);
    return false;
  }
  Value = Text->get();
  return true;
}

bool TomlReader::readTexts(const char *Key, Presence Needed,
                           const TextRule &Rule,
                           std::vector<std::string> &Values) {
  const toml::node *Node = findNode(Key, Needed);
  if (!Node)
    return false;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    addFault(Key, typeName(*Node), "an array of strings");
    return false;
  }
  if (Array->empty() && Needed == Presence::Required) {
    addFault(Key, "an empty array", "at least one entry");
    return false;
  }
  std::set<std::string> SeenValues;
  for (std::size_t I = 0; I < Array->size(); ++I)
    readElement(Key, I, *Array->get(I), Rule, SeenValues, Values);
  return Values.size() == Array->size();
}

void TomlReader::readElement(const char *Key, std::size_t Index,
                             const toml::node &Node, const TextRule &Rule,
                             std::set<std::string> &SeenValues,
                             std::vector<std::string> &Values) {
  const auto *Text = Node.as_string();
  if (!Text) {
    addElementFault(Key, Index, typeName(Node), "a string");
    return;
  }
  const std::string &Value = Text->get();
  if (!Rule.Accepts_(Value)) {
    addElementFault(Key, Index, describeText(Value, Rule), Rule.Allowed_);
    return;
  }
  if (!SeenValues.insert(Value).second) {
    addElementFault(Key, Index, describeText(Value, Rule) + " a second time",
                    "each entry once");
    return;
  }
  Values.push_back(Value);
}

bool TomlReader::readBoundedInteger(const char *Key, IntegerRange Range,
                                    std::int64_t &Value) {
  const toml::node *Node = findNode(Key, Presence::Optional);
  if (!Node)
    return false;
  std::string Allowed = "an integer from " + std::to_string(Range.Minimum_) +
                        " to " + std::to_string(Range.Maximum_);
  const auto *Integer = Node->as_integer();
  if (!Integer) {
    addFault(Key, typeName(*Node), Allowed);
    return false;
  }
  if (Integer->get() < Range.Minimum_ || Integer->get() > Range.Maximum_) {
    addFault(Key, std::to_string(Integer->get()), Allowed);
    return false;
  }
  Value = Integer->get();
  return true;
}

bool TomlReader::readInteger(const char *Key, IntegerRange Range, int &Value) {
  std::int64_t CheckedValue = 0;
  if (!readBoundedInteger(Key, Range, CheckedValue))
    return false;
  Value = static_cast<int>(CheckedValue);
  return true;
}

bool TomlReader::readMilliseconds(const char *Key, IntegerRange Range,
                                  Milliseconds &Value) {
  std::int64_t CheckedValue = 0;
  if (!readBoundedInteger(Key, Range, CheckedValue))
    return false;
  Value = Milliseconds{CheckedValue};
  return true;
}

bool TomlReader::readNumber(const char *Key, NumberRange Range, double &Value) {
  const toml::node *Node = findNode(Key, Presence::Optional);
  if (!Node)
    return false;
  if (!Node->is_number()) {
    addFault(Key, typeName(*Node), describeRange(Range));
    return false;
  }
  double Number = Node->value<double>().value_or(std::nan(""));
  if (!isInRange(Range, Number)) {
    addFault(Key, formatNumber(Number), describeRange(Range));
    return false;
  }
  Value = Number;
  return true;
}

bool TomlReader::readFlag(const char *Key, bool &Value) {
  const toml::node *Node = findNode(Key, Presence::Optional);
  if (!Node)
    return false;
  const auto *Flag = Node->as_boolean();
  if (!Flag) {
    addFault(Key, typeName(*Node), "true or false");
    return false;
  }
  Value = Flag->get();
  return true;
}

std::vector<TomlReader> TomlReader::readTables(const char *Key) {
  std::vector<TomlReader> Readers;
  const toml::node *Node = findNode(Key, Presence::Optional);
  if (!Node)
    return Readers;
  std::string Allowed = "tables of the form [[" + std::string(Key) + "]]";
  const toml::array *Array = Node->as_array();
  if (!Array) {
    addFault(Key, typeName(*Node), Allowed);
    return Readers;
  }
  for (std::size_t I = 0; I < Array->size(); ++I) {
    const toml::table *Element = Array->get(I)->as_table();
    if (Element)
      Readers.emplace_back(*Element, pathOf(elementPath(Key, I)), *Faults_);
    else
      addElementFault(Key, I, typeName(*Array->get(I)), Allowed);
  }
  return Readers;
}

std::optional<TomlReader> TomlReader::readTable(const char *Key) {
  const toml::node *Node = findNode(Key, Presence::Optional);
  if (!Node)
    return std::nullopt;
  const toml::table *Table = Node->as_table();
  if (!Table) {
    addFault(Key, typeName(*Node), "a table [" + std::string(Key) + "]");
    return std::nullopt;
  }
  return TomlReader(*Table, pathOf(Key), *Faults_);
}

void TomlReader::rejectUnknown() {
  std::string Allowed = "one of:";
  for (const std::string &Key : RequestedKeys_)
    Allowed += " " + Key;
  for (const auto &[Key, Node] : *Table_) {
    if (RequestedKeys_.contains(Key.str()))
      continue;
    std::string Quoted = quoteFound(Key.str());
    recordFault({lineOfRegion(Key.source()), pathOf(Quoted),
                 "an unknown key " + Quoted, Allowed});
  }
}

void TomlReader::addFault(const char *Key, std::string Found,
                          std::string Allowed) {
  recordFault({lineOf(Key), pathOf(Key), std::move(Found), std::move(Allowed)});
}

void TomlReader::addElementFault(const char *Key, std::size_t Index,
                                 std::string Found, std::string Allowed) {
  int Line = lineOf(Key);
  const toml::node *Node = Table_->get(Key);
  const toml::array *Array = Node ? Node->as_array() : nullptr;
  if (Array && Index < Array->size())
    Line = lineOfRegion(Array->get(Index)->source());
  recordFault({Line, pathOf(elementPath(Key, Index)), std::move(Found),
               std::move(Allowed)});
}

void TomlReader::recordFault(DocumentFault Fault) {
  if (Faults_->size() < MaxFaults)
    Faults_->push_back(std::move(Fault));
  else if (Faults_->size() == MaxFaults)
    Faults_->push_back({Fault.Line_, "", "more faults, which are not listed",
                        "a list of " + std::to_string(MaxFaults) + " faults"});
}

int TomlReader::lineOf(const char *Key) const {
  auto Position = Table_->find(Key);
  if (Position != Table_->end())
    return lineOfRegion(Position->first.source());
  return std::max(lineOfRegion(Table_->source()), 1);
}

std::string TomlReader::pathOf(std::string_view Key) const {
  return Path_.empty() ? std::string(Key) : Path_ + "." + std::string(Key);
}

} // namespace amaranth::state
