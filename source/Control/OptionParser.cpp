#include "Control/OptionParser.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace amaranth::control {

namespace {

constexpr const char *ProgramName = "amaranthctl";
constexpr std::int64_t MaxMilliseconds = 24 * 3600 * 1000;

struct PoptDeleter {
  void operator()(poptContext_s *Popt) const { poptFreeContext(Popt); }
};
using PoptContext = std::unique_ptr<poptContext_s, PoptDeleter>;

/// The text of the last option value, which popt allocated.
std::string takeOptionValue(poptContext Popt) {
  char *Value = poptGetOptArg(Popt);
  std::string Text = Value ? Value : "";
  std::free(Value);
  return Text;
}

std::string describeFailure(poptContext Popt, int Failure) {
  return std::string(poptBadOption(Popt, POPT_BADOPTION_NOALIAS)) + ": " +
         poptStrerror(Failure);
}

} // namespace

std::vector<std::string> Options::values(const std::string &Name) const {
  auto Found = Values_.find(Name);
  return Found == Values_.end() ? std::vector<std::string>() : Found->second;
}

std::string Options::value(const std::string &Name, std::string Default) const {
  auto Found = Values_.find(Name);
  return Found == Values_.end() ? std::move(Default) : Found->second.back();
}

Result<Milliseconds> Options::milliseconds(const std::string &Name,
                                           Milliseconds Default) const {
  if (!has(Name))
    return Default;
  std::string Text = value(Name);
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [ParseEnd, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || ParseEnd != End || Value < 1 ||
      Value > MaxMilliseconds)
    return fail(ErrorCode::InvalidArgument,
                "--" + Name + ": found \"" + Text +
                    "\"; expected milliseconds from 1 to " +
                    std::to_string(MaxMilliseconds));
  return Milliseconds{Value};
}

OptionParser::OptionParser(std::string Usage) : Usage_(std::move(Usage)) {
  addFlag("help", "Show this help");
}

void OptionParser::addFlag(const char *Name, const char *Help) {
  Options_.push_back({Name, nullptr, Help});
}

void OptionParser::addValue(const char *Name, const char *ValueName,
                            const char *Help) {
  Options_.push_back({Name, ValueName, Help});
}

namespace {

template <typename Declared>
std::vector<poptOption> makeTable(const Declared &Options) {
  std::vector<poptOption> Table;
  for (const auto &Entry : Options) {
    unsigned Kind = Entry.ValueName_ ? POPT_ARG_STRING : POPT_ARG_NONE;
    int Code = static_cast<int>(Table.size()) + 1;
    Table.push_back({Entry.Name_, '\0', Kind, nullptr, Code, Entry.Help_,
                     Entry.ValueName_});
  }
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return Table;
}

} // namespace

Result<Options>
OptionParser::parse(const std::vector<std::string> &Arguments) const {
  std::vector<const char *> ArgumentVector = {ProgramName};
  for (const std::string &Argument : Arguments)
    ArgumentVector.push_back(Argument.c_str());
  ArgumentVector.push_back(nullptr);
  std::vector<poptOption> Table = makeTable(Options_);
  PoptContext Popt(poptGetContext(ProgramName,
                                  static_cast<int>(ArgumentVector.size()) - 1,
                                  ArgumentVector.data(), Table.data(), 0));
  Options Parsed;
  int Code = 0;
  while ((Code = poptGetNextOpt(Popt.get())) > 0) {
    const Option &Matched = Options_[static_cast<std::size_t>(Code) - 1];
    Parsed.Values_[Matched.Name_].push_back(takeOptionValue(Popt.get()));
  }
  if (Code < -1)
    return fail(ErrorCode::InvalidArgument, describeFailure(Popt.get(), Code) +
                                                "; expected " +
                                                describeOptions());
  const char **Positional = poptGetArgs(Popt.get());
  for (; Positional && *Positional; ++Positional)
    Parsed.Arguments_.emplace_back(*Positional);
  return Parsed;
}

std::string OptionParser::describeOptions() const {
  std::string Text;
  for (const Option &Entry : Options_) {
    Text += Text.empty() ? "--" : ", --";
    Text += Entry.Name_;
    if (Entry.ValueName_)
      Text += std::string(" ") + Entry.ValueName_;
  }
  return Text;
}

std::string OptionParser::help() const {
  std::vector<poptOption> Table = makeTable(Options_);
  const char *ArgumentVector[] = {ProgramName, nullptr};
  PoptContext Popt(
      poptGetContext(ProgramName, 1, ArgumentVector, Table.data(), 0));
  poptSetOtherOptionHelp(Popt.get(), Usage_.c_str());
  char *Buffer = nullptr;
  std::size_t Size = 0;
  std::FILE *Stream = open_memstream(&Buffer, &Size);
  assert(Stream);
  poptPrintHelp(Popt.get(), Stream, 0);
  std::fclose(Stream);
  std::string Text(Buffer, Size);
  std::free(Buffer);
  return Text;
}

} // namespace amaranth::control
