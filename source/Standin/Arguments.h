/// \file
/// Parsing of the command-line arguments of a subcommand, with popt.
#ifndef AMARANTH_STANDIN_ARGUMENTS_H
#define AMARANTH_STANDIN_ARGUMENTS_H

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

struct poptOption;
struct poptContext_s;

namespace amaranth::standin {

/// Declares options that are bound to variables, then parses the command line
/// into these. The bound variables hold the defaults and must outlive the
/// object.
class Arguments final {
public:
  /// \p ControlHelp describes the control API and \p Examples give calls; both
  /// are appended to the help text.
  Arguments(std::string Program, std::string ControlHelp, std::string Examples);
  ~Arguments();
  Arguments(const Arguments &) = delete;
  Arguments &operator=(const Arguments &) = delete;

  /// Adds an integer option. Values below \p Minimum are usage errors.
  void addInteger(std::string Name, int &Variable, std::string Help,
                  int Minimum = 0);
  void addText(std::string Name, std::string &Variable, std::string Help);
  void addFlag(std::string Name, bool &Variable, std::string Help);

  /// Parses the command line. Returns an exit code if the program should exit
  /// now: 0 after --help or --version, 2 after a usage error, which is written
  /// to standard error.
  std::optional<int> parse(int ArgumentCount, const char **ArgumentValues);

private:
  struct IntegerBinding {
    std::string Name_;
    int *Variable_ = nullptr;
    int Minimum_ = 0;
  };
  struct TextBinding {
    char *Parsed_ = nullptr;
    std::string *Variable_ = nullptr;
  };
  struct FlagBinding {
    int Parsed_ = 0;
    bool *Variable_ = nullptr;
  };

  void addOption(std::string Name, unsigned ArgumentInfo, void *Storage,
                 int OptionCode, std::string Help, const char *ValueName);
  std::string findUsageError(poptContext_s *Context, int OptionCode) const;
  void storeParsedValues();

  std::string Program_;
  std::string ControlHelp_;
  std::string Examples_;
  std::deque<std::string> OptionTexts_; ///< Referenced by Options_.
  std::vector<IntegerBinding> IntegerBindings_;
  std::deque<TextBinding> TextBindings_;
  std::deque<FlagBinding> FlagBindings_;
  std::vector<poptOption> Options_;
};

} // namespace amaranth::standin

#endif
