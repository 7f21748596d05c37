#include "Daemon/Options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace amaranth::daemon {

namespace {

constexpr int ExitUsage = 2;

constexpr const char *HelpText =
    "amaranthd --settings FILE\n"
    "amaranthd --platform\n\n"
    "Serves callers on one entry host.\n\n"
    "  -s, --settings FILE  settings of this host (TOML)\n"
    "  -p, --platform       serve on the users' platform, with the settings\n"
    "                       file that it names in the environment\n"
    "  -c, --check          check the settings and exit\n"
    "      --version        show the version and exit\n"
    "  -h, --help           show this text and exit\n\n"
    "Examples:\n"
    "  amaranthd --settings host-1.toml\n"
    "  amaranthd --settings host-1.toml --check\n"
    "  amaranthd --platform --check\n\n"
    "SIGTERM and SIGINT drain the host and exit.\n";

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextPointer =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

OptionsResult usageError(const std::string &Message) {
  std::fprintf(stderr, "amaranthd: %s\nTry 'amaranthd --help'.\n",
               Message.c_str());
  return {std::nullopt, ExitUsage};
}

} // namespace

OptionsResult parseOptions(int ArgumentCount, const char **Arguments) {
  char *File = nullptr;
  int Check = 0;
  int Platform = 0;
  int Help = 0;
  int Version = 0;
  const poptOption Table[] = {
      {"settings", 's', POPT_ARG_STRING, &File, 0, nullptr, nullptr},
      {"platform", 'p', POPT_ARG_NONE, &Platform, 0, nullptr, nullptr},
      {"check", 'c', POPT_ARG_NONE, &Check, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &Help, 0, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, &Version, 0, nullptr, nullptr},
      POPT_TABLEEND};
  ContextPointer Context(
      poptGetContext("amaranthd", ArgumentCount, Arguments, Table, 0));
  int Status = poptGetNextOpt(Context.get());
  Options Parsed;
  if (File)
    Parsed.SettingsFile_ = File;
  std::free(File);
  Parsed.CheckOnly_ = Check != 0;
  Parsed.Platform_ = Platform != 0;
  if (Status < -1)
    return usageError(std::string(poptBadOption(Context.get(), 0)) + ": " +
                      poptStrerror(Status));
  if (const char *ExtraArgument = poptGetArg(Context.get()))
    return usageError(
        std::string("unexpected argument (only options are accepted): ") +
        ExtraArgument);
  if (Help) {
    std::fputs(HelpText, stdout);
    return {std::nullopt, 0};
  }
  if (Version) {
    std::puts("amaranthd " AMARANTH_VERSION);
    return {std::nullopt, 0};
  }
  if (Parsed.Platform_ && !Parsed.SettingsFile_.empty())
    return usageError("--settings and --platform cannot be combined");
  if (!Parsed.Platform_ && Parsed.SettingsFile_.empty())
    return usageError("--settings FILE or --platform is required");
  return {Parsed, 0};
}

} // namespace amaranth::daemon
