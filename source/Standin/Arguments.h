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

namespace amaranth::standin {

/// Declares options bound to variables, then parses them. The bound variables
/// hold the defaults and must outlive the object.
class Arguments final {
public:
  /// \p Examples end the help text.
  Arguments(std::string Program, std::string Examples);
  ~Arguments();
  Arguments(const Arguments &) = delete;
  Arguments &operator=(const Arguments &) = delete;

  void integer(std::string Name, int &Value, std::string Help);
  void real(std::string Name, double &Value, std::string Help);
  void text(std::string Name, std::string &Value, std::string Help);
  void flag(std::string Name, bool &Value, std::string Help);

  /// Parses; returns the exit code if the program ends here: 0 after --help or
  /// --version, 2 after a usage error, which is written to standard error.
  std::optional<int> parse(int Count, const char **Values);

private:
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
  void copyBack();

  std::string Program_;
  std::string Examples_;
  std::deque<std::string> Strings_; ///< Keeps the texts in Options_ alive.
  std::deque<TextBinding> Texts_;
  std::deque<FlagBinding> Flags_;
  std::vector<poptOption> Options_;
};

} // namespace amaranth::standin

#endif
