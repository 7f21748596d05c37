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
using ContextHolder =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

OptionsReading usageError(const std::string &Message) {
  std::fprintf(stderr, "amaranthd: %s\nTry 'amaranthd --help'.\n",
               Message.c_str());
  return {std::nullopt, ExitUsage};
}

} // namespace

OptionsReading readOptions(int ArgumentCount, const char **Arguments) {
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
  ContextHolder Context(
      poptGetContext("amaranthd", ArgumentCount, Arguments, Table, 0));
  int Status = poptGetNextOpt(Context.get());
  Options Read;
  if (File)
    Read.SettingsFile_ = File;
  std::free(File);
  Read.CheckOnly_ = Check != 0;
  Read.Platform_ = Platform != 0;
  if (Status < -1)
    return usageError(std::string(poptBadOption(Context.get(), 0)) + ": " +
                      poptStrerror(Status));
  if (const char *Extra = poptGetArg(Context.get()))
    return usageError(std::string("unexpected argument: ") + Extra);
  if (Help) {
    std::fputs(HelpText, stdout);
    return {std::nullopt, 0};
  }
  if (Version) {
    std::puts("amaranthd " AMARANTH_VERSION);
    return {std::nullopt, 0};
  }
  if (Read.Platform_ && !Read.SettingsFile_.empty())
    return usageError("--settings and --platform exclude each other");
  if (!Read.Platform_ && Read.SettingsFile_.empty())
    return usageError("--settings FILE or --platform is required");
  return {Read, 0};
}

} // namespace amaranth::daemon
