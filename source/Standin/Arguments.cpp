#include "Standin/Arguments.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace amaranth::standin {

namespace {

constexpr int ExitUsage = 2;
constexpr int HelpOption = 1;
constexpr int VersionOption = 2;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextOwner =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

} // namespace

Arguments::Arguments(std::string Program, std::string ControlHelp,
                     std::string Examples)
    : Program_(std::move(Program)), ControlHelp_(std::move(ControlHelp)),
      Examples_(std::move(Examples)) {
  addOption("help", POPT_ARG_NONE, nullptr, HelpOption,
            "Show this help and exit", nullptr);
  addOption("version", POPT_ARG_NONE, nullptr, VersionOption,
            "Show the version and exit", nullptr);
}

Arguments::~Arguments() {
  for (TextBinding &Binding : TextBindings_)
    std::free(Binding.Parsed_);
}

void Arguments::addInteger(std::string Name, int &Variable, std::string Help,
                           int Minimum) {
  IntegerBindings_.push_back({Name, &Variable, Minimum});
  addOption(std::move(Name), POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
            &Variable, 0, std::move(Help), "N");
}

void Arguments::addText(std::string Name, std::string &Variable,
                        std::string Help) {
  TextBindings_.push_back({nullptr, &Variable});
  addOption(std::move(Name), POPT_ARG_STRING, &TextBindings_.back().Parsed_, 0,
            std::move(Help), "TEXT");
}

void Arguments::addFlag(std::string Name, bool &Variable, std::string Help) {
  FlagBindings_.push_back({0, &Variable});
  addOption(std::move(Name), POPT_ARG_NONE, &FlagBindings_.back().Parsed_, 0,
            std::move(Help), nullptr);
}

void Arguments::addOption(std::string Name, unsigned ArgumentInfo,
                          void *Storage, int OptionCode, std::string Help,
                          const char *ValueName) {
  OptionTexts_.push_back(std::move(Name));
  const char *NameText = OptionTexts_.back().c_str();
  OptionTexts_.push_back(std::move(Help));
  Options_.push_back({NameText, '\0', ArgumentInfo, Storage, OptionCode,
                      OptionTexts_.back().c_str(), ValueName});
}

std::optional<int> Arguments::parse(int ArgumentCount,
                                    const char **ArgumentValues) {
  Options_.push_back(POPT_TABLEEND);
  std::vector<const char *> RenamedValues(ArgumentValues,
                                          ArgumentValues + ArgumentCount);
  RenamedValues.at(0) = Program_.c_str();
  ContextOwner Context(poptGetContext(Program_.c_str(), ArgumentCount,
                                      RenamedValues.data(), Options_.data(),
                                      0));
  int OptionCode = 0;
  while ((OptionCode = poptGetNextOpt(Context.get())) > 0) {
    if (OptionCode == VersionOption) {
      std::printf("%s %s\n", Program_.c_str(), AMARANTH_VERSION);
      return 0;
    }
    poptPrintHelp(Context.get(), stdout, 0);
    std::printf("\nControl API:\n%s\nExamples:\n%s", ControlHelp_.c_str(),
                Examples_.c_str());
    return 0;
  }
  std::string UsageError = findUsageError(Context.get(), OptionCode);
  if (!UsageError.empty()) {
    std::fprintf(stderr, "%s: %s\n", Program_.c_str(), UsageError.c_str());
    return ExitUsage;
  }
  storeParsedValues();
  return std::nullopt;
}

/// The usage error when parsing has ended with \p OptionCode, or an empty
/// string.
std::string Arguments::findUsageError(poptContext_s *Context,
                                      int OptionCode) const {
  if (OptionCode < -1)
    return std::string(poptBadOption(Context, 0)) + ": " +
           poptStrerror(OptionCode);
  if (const char *ExtraArgument = poptGetArg(Context))
    return std::string("unexpected argument: ") + ExtraArgument;
  for (const IntegerBinding &Binding : IntegerBindings_)
    if (*Binding.Variable_ < Binding.Minimum_)
      return "--" + Binding.Name_ + " must be at least " +
             std::to_string(Binding.Minimum_);
  return "";
}

void Arguments::storeParsedValues() {
  for (TextBinding &Binding : TextBindings_)
    if (Binding.Parsed_)
      *Binding.Variable_ = Binding.Parsed_;
  for (FlagBinding &Binding : FlagBindings_)
    *Binding.Variable_ = Binding.Parsed_ != 0;
}

} // namespace amaranth::standin
