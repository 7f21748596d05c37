/// \file
/// Validating reader of TOML tables.
#ifndef AMARANTH_STATE_TOMLREADER_H
#define AMARANTH_STATE_TOMLREADER_H

#include "State/ServiceDocument.h"
#include "State/TextRule.h"
#include "State/TomlLibrary.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::state {

enum class Presence { Required, Optional };

/// Inclusive bounds of an integer key.
struct IntegerRange {
  std::int64_t Minimum_;
  std::int64_t Maximum_;
};

/// Bounds of a number key.
struct NumberRange {
  double ExclusiveMinimum_;
  double Maximum_;
  bool IsMaximumExclusive_ = false;
};

/// Parses \p Text. On a syntax error, adds one fault and returns nothing.
std::optional<toml::table> parseToml(std::string_view Text,
                                     std::vector<DocumentFault> &Faults);

/// Quotes \p Text for a fault: escapes and truncates it.
std::string quoteFound(std::string_view Text);

/// Reads the keys of one table into typed values. Records a fault for each key
/// that is missing, of the wrong type, out of range or unknown, and goes on, so
/// that all faults are reported together. The table must outlive the reader.
/// The read functions return true if they stored a value.
class TomlReader final {
public:
  /// \p Path names the table in faults; it is empty for the root.
  TomlReader(const toml::table &Table, std::string Path,
             std::vector<DocumentFault> &Faults);

  bool readText(const char *Key, Presence Needed, const TextRule &Rule,
                std::string &Value);
  bool readTexts(const char *Key, Presence Needed, const TextRule &Rule,
                 std::vector<std::string> &Values);
  bool readInteger(const char *Key, IntegerRange Range, int &Value);
  bool readMilliseconds(const char *Key, IntegerRange Range,
                        Milliseconds &Value);
  bool readNumber(const char *Key, NumberRange Range, double &Value);
  bool readFlag(const char *Key, bool &Value);

  /// Returns readers for an array of tables ("[[key]]"), none if it is absent.
  std::vector<TomlReader> readTables(const char *Key);
  /// Returns a reader for the table "[key]", if it is present.
  std::optional<TomlReader> readTable(const char *Key);

  /// Records a fault for each key that was not passed to a read function. Call
  /// it after all keys are read.
  void rejectUnknown();

  /// Records a fault at \p Key, or at the table itself if the key is absent.
  void addFault(const char *Key, std::string Found, std::string Allowed);
  /// Records a fault at element \p Index of the array \p Key.
  void addElementFault(const char *Key, std::size_t Index, std::string Found,
                       std::string Allowed);

private:
  const toml::node *findNode(const char *Key, Presence Needed);
  bool readBoundedInteger(const char *Key, IntegerRange Range,
                          std::int64_t &Value);
  void readElement(const char *Key, std::size_t Index, const toml::node &Node,
                   const TextRule &Rule, std::set<std::string> &SeenValues,
                   std::vector<std::string> &Values);
  void recordFault(DocumentFault Fault);
  int lineOf(const char *Key) const;
  std::string pathOf(std::string_view Key) const;

  const toml::table *Table_;
  std::string Path_;
  std::vector<DocumentFault> *Faults_;
  /// Keys that were passed to the read functions.
  std::set<std::string, std::less<>> RequestedKeys_;
};

} // namespace amaranth::state

#endif
