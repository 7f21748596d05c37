#include "Standin/Arguments.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace amaranth::standin {

namespace {

constexpr int ExitUsage = 2;
constexpr int HelpCode = 1;
constexpr int VersionCode = 2;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextOwner =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

} // namespace

Arguments::Arguments(std::string Program, std::string Control,
                     std::string Examples)
    : Program_(std::move(Program)), Control_(std::move(Control)),
      Examples_(std::move(Examples)) {
  add("help", POPT_ARG_NONE, nullptr, HelpCode, "Show this help and exit",
      nullptr);
  add("version", POPT_ARG_NONE, nullptr, VersionCode,
      "Show the version and exit", nullptr);
}

Arguments::~Arguments() {
  for (TextBinding &Binding : Texts_)
    std::free(Binding.Parsed_);
}

void Arguments::integer(std::string Name, int &Value, std::string Help,
                        int Least) {
  Integers_.push_back({Name, &Value, Least});
  add(std::move(Name), POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &Value, 0,
      std::move(Help), "N");
}

void Arguments::text(std::string Name, std::string &Value, std::string Help) {
  Texts_.push_back({nullptr, &Value});
  add(std::move(Name), POPT_ARG_STRING, &Texts_.back().Parsed_, 0,
      std::move(Help), "TEXT");
}

void Arguments::flag(std::string Name, bool &Value, std::string Help) {
  Flags_.push_back({0, &Value});
  add(std::move(Name), POPT_ARG_NONE, &Flags_.back().Parsed_, 0,
      std::move(Help), nullptr);
}

void Arguments::add(std::string Name, unsigned Kind, void *Storage, int Code,
                    std::string Help, const char *ValueName) {
  Strings_.push_back(std::move(Name));
  const char *NameText = Strings_.back().c_str();
  Strings_.push_back(std::move(Help));
  Options_.push_back({NameText, '\0', Kind, Storage, Code,
                      Strings_.back().c_str(), ValueName});
}

std::optional<int> Arguments::parse(int Count, const char **Values) {
  Options_.push_back(POPT_TABLEEND);
  std::vector<const char *> Named(Values, Values + Count);
  Named.at(0) = Program_.c_str();
  ContextOwner Context(poptGetContext(Program_.c_str(), Count, Named.data(),
                                      Options_.data(), 0));
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    if (Code == VersionCode) {
      std::printf("%s %s\n", Program_.c_str(), AMARANTH_VERSION);
      return 0;
    }
    poptPrintHelp(Context.get(), stdout, 0);
    std::printf("\nControl API:\n%s\nExamples:\n%s", Control_.c_str(),
                Examples_.c_str());
    return 0;
  }
  std::string Fault = findFault(Context.get(), Code);
  if (!Fault.empty()) {
    std::fprintf(stderr, "%s: %s\n", Program_.c_str(), Fault.c_str());
    return ExitUsage;
  }
  copyBack();
  return std::nullopt;
}

/// The usage error after parsing ended with \p Code, or an empty string.
std::string Arguments::findFault(poptContext_s *Context, int Code) const {
  if (Code < -1)
    return std::string(poptBadOption(Context, 0)) + ": " + poptStrerror(Code);
  if (const char *Extra = poptGetArg(Context))
    return std::string("unexpected argument: ") + Extra;
  for (const IntegerBinding &Binding : Integers_)
    if (*Binding.Target_ < Binding.Least_)
      return "--" + Binding.Name_ + " must be at least " +
             std::to_string(Binding.Least_);
  return "";
}

void Arguments::copyBack() {
  for (TextBinding &Binding : Texts_)
    if (Binding.Parsed_)
      *Binding.Target_ = Binding.Parsed_;
  for (FlagBinding &Binding : Flags_)
    *Binding.Target_ = Binding.Parsed_ != 0;
}

} // namespace amaranth::standin
