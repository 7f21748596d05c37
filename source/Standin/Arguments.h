/// \file
/// Command-line arguments of a subcommand, by popt.
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

/// Declares options bound to variables, then parses them. The bound variables
/// hold the defaults and must outlive the object.
class Arguments final {
public:
  /// \p Control describes the control API and \p Examples give calls; both end
  /// the help text.
  Arguments(std::string Program, std::string Control, std::string Examples);
  ~Arguments();
  Arguments(const Arguments &) = delete;
  Arguments &operator=(const Arguments &) = delete;

  /// Values below \p Least are usage errors.
  void integer(std::string Name, int &Value, std::string Help, int Least = 0);
  void text(std::string Name, std::string &Value, std::string Help);
  void flag(std::string Name, bool &Value, std::string Help);

  /// Parses; returns the exit code if the program ends here: 0 after --help or
  /// --version, 2 after a usage error, which is written to standard error.
  std::optional<int> parse(int Count, const char **Values);

private:
  struct IntegerBinding {
    std::string Name_;
    int *Target_ = nullptr;
    int Least_ = 0;
  };
  struct TextBinding {
    char *Parsed_ = nullptr;
    std::string *Target_ = nullptr;
  };
  struct FlagBinding {
    int Parsed_ = 0;
    bool *Target_ = nullptr;
  };

  void add(std::string Name, unsigned Kind, void *Storage, int Code,
           std::string Help, const char *ValueName);
  std::string findFault(poptContext_s *Context, int Code) const;
  void copyBack();

  std::string Program_;
  std::string Control_;
  std::string Examples_;
  std::deque<std::string> Strings_; ///< Keeps the texts in Options_ alive.
  std::vector<IntegerBinding> Integers_;
  std::deque<TextBinding> Texts_;
  std::deque<FlagBinding> Flags_;
  std::vector<poptOption> Options_;
};

} // namespace amaranth::standin

#endif
