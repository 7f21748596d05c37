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

struct ContextDeleter {
  void operator()(poptContext_s *Context) const { poptFreeContext(Context); }
};
using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

/// The text of the last option value, which popt allocated.
std::string takeValue(poptContext From) {
  char *Value = poptGetOptArg(From);
  std::string Text = Value ? Value : "";
  std::free(Value);
  return Text;
}

std::string explain(poptContext From, int Failure) {
  return std::string(poptBadOption(From, POPT_BADOPTION_NOALIAS)) + ": " +
         poptStrerror(Failure);
}

} // namespace

std::vector<std::string> Options::all(const std::string &Name) const {
  auto Found = Values_.find(Name);
  return Found == Values_.end() ? std::vector<std::string>() : Found->second;
}

std::string Options::text(const std::string &Name, std::string Default) const {
  auto Found = Values_.find(Name);
  return Found == Values_.end() ? std::move(Default) : Found->second.back();
}

Result<Milliseconds> Options::milliseconds(const std::string &Name,
                                           Milliseconds Default) const {
  if (!has(Name))
    return Default;
  std::string Text = text(Name);
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End || Value < 1 ||
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
  std::vector<const char *> Raw = {ProgramName};
  for (const std::string &Argument : Arguments)
    Raw.push_back(Argument.c_str());
  Raw.push_back(nullptr);
  std::vector<poptOption> Table = makeTable(Options_);
  Context Parser(poptGetContext(ProgramName, static_cast<int>(Raw.size()) - 1,
                                Raw.data(), Table.data(), 0));
  Options Parsed;
  int Code = 0;
  while ((Code = poptGetNextOpt(Parser.get())) > 0) {
    const Option &Found = Options_[static_cast<std::size_t>(Code) - 1];
    Parsed.Values_[Found.Name_].push_back(takeValue(Parser.get()));
  }
  if (Code < -1)
    return fail(ErrorCode::InvalidArgument,
                explain(Parser.get(), Code) + "; expected " + describeAll());
  const char **Rest = poptGetArgs(Parser.get());
  for (; Rest && *Rest; ++Rest)
    Parsed.Arguments_.emplace_back(*Rest);
  return Parsed;
}

std::string OptionParser::describeAll() const {
  std::string Text;
  for (const Option &Each : Options_) {
    Text += Text.empty() ? "--" : ", --";
    Text += Each.Name_;
    if (Each.ValueName_)
      Text += std::string(" ") + Each.ValueName_;
  }
  return Text;
}

std::string OptionParser::help() const {
  std::vector<poptOption> Table = makeTable(Options_);
  const char *Raw[] = {ProgramName, nullptr};
  Context Parser(poptGetContext(ProgramName, 1, Raw, Table.data(), 0));
  poptSetOtherOptionHelp(Parser.get(), Usage_.c_str());
  char *Buffer = nullptr;
  std::size_t Size = 0;
  std::FILE *Memory = open_memstream(&Buffer, &Size);
  assert(Memory);
  poptPrintHelp(Parser.get(), Memory, 0);
  std::fclose(Memory);
  std::string Text(Buffer, Size);
  std::free(Buffer);
  return Text;
}

} // namespace amaranth::control
