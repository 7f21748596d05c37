/// \file
/// Command line options, parsed with popt.
#ifndef AMARANTH_CONTROL_OPTIONPARSER_H
#define AMARANTH_CONTROL_OPTIONPARSER_H

#include "Support/Error.h"
#include "Support/Time.h"

#include <map>
#include <string>
#include <vector>

namespace amaranth::control {

/// Options and positional arguments of a command line.
class Options final {
public:
  bool has(const std::string &Name) const { return Values_.contains(Name); }
  /// Every value of a repeatable option, in order.
  std::vector<std::string> values(const std::string &Name) const;
  /// The last value, or \p Default.
  std::string value(const std::string &Name, std::string Default = "") const;
  /// The last value, or \p Default; InvalidArgument unless it is from 1 ms to
  /// one day.
  Result<Milliseconds> milliseconds(const std::string &Name,
                                    Milliseconds Default) const;
  const std::vector<std::string> &arguments() const { return Arguments_; }

private:
  friend class OptionParser;
  std::map<std::string, std::vector<std::string>> Values_;
  std::vector<std::string> Arguments_;
};

/// Declares options, parses a command line and prints help.
class OptionParser final {
public:
  /// \p Usage follows the program name in the help.
  explicit OptionParser(std::string Usage);

  void addFlag(const char *Name, const char *Help);
  void addValue(const char *Name, const char *ValueName, const char *Help);

  /// InvalidArgument for an unknown option, a missing or an unwanted value.
  Result<Options> parse(const std::vector<std::string> &Arguments) const;

  std::string help() const;

private:
  struct Option {
    const char *Name_;
    const char *ValueName_; ///< Null for a flag.
    const char *Help_;
  };

  std::string describeOptions() const;

  std::string Usage_;
  std::vector<Option> Options_;
};

} // namespace amaranth::control

#endif
