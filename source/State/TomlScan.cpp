#include "State/TomlScan.h"

#include <algorithm>
#include <cstddef>

namespace amaranth::state {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::size_t MultiLineQuotes = 3;
/// A multi-line string may end in two quotes directly before the closing ones.
constexpr std::size_t MaxClosingQuotes = MultiLineQuotes + 2;

/// Maximum number of dots in a key. The keys of documents and settings have at
/// most one.
constexpr std::size_t MaxDots = 8;

/// Scans TOML text one token at a time.
class TomlScanner final {
public:
  explicit TomlScanner(std::string_view Text) : Text_(Text) {
    if (Text_.starts_with(ByteOrderMark))
      Text_.remove_prefix(ByteOrderMark.size());
  }

  std::optional<DocumentFault> findFault();

private:
  bool atEnd() const { return Position_ >= Text_.size(); }
  std::size_t countQuotes(char Quote) const;
  /// Counts the dots since the last character that cannot be part of a key.
  /// Returns false if there are too many.
  bool countDot(char C);
  void advance(std::size_t Bytes);
  void skipComment();
  void skipString(char Quote);
  void skipMultiLine(char Quote);

  std::string_view Text_;
  std::size_t Position_ = 0;
  int Line_ = 1;
  std::size_t DotCount_ = 0;
};

std::optional<DocumentFault> TomlScanner::findFault() {
  while (!atEnd()) {
    char C = Text_[Position_];
    if (static_cast<unsigned char>(C) > '\x7f')
      return DocumentFault{Line_, "", "a non-ASCII character",
                           "non-ASCII characters in strings and comments only"};
    if (!countDot(C))
      return DocumentFault{Line_, "", "a dotted key of many parts",
                           "at most " + std::to_string(MaxDots) + " dots"};
    if (C == '#')
      skipComment();
    else if ((C == '"' || C == '\'') && countQuotes(C) >= MultiLineQuotes)
      skipMultiLine(C);
    else if (C == '"' || C == '\'')
      skipString(C);
    else
      advance(1);
  }
  return std::nullopt;
}

bool TomlScanner::countDot(char C) {
  if (C == '\n' || C == '=' || C == ',' || C == '[' || C == '{')
    DotCount_ = 0;
  DotCount_ += C == '.' ? 1 : 0;
  return DotCount_ <= MaxDots;
}

std::size_t TomlScanner::countQuotes(char Quote) const {
  // A longer run of quotes does not belong to one string.
  std::string_view Next = Text_.substr(Position_, MaxClosingQuotes);
  return std::min(Next.find_first_not_of(Quote), Next.size());
}

void TomlScanner::advance(std::size_t Bytes) {
  for (; Bytes > 0 && !atEnd(); --Bytes)
    Line_ += Text_[Position_++] == '\n' ? 1 : 0;
}

void TomlScanner::skipComment() {
  Position_ = std::min(Text_.find('\n', Position_), Text_.size());
}

void TomlScanner::skipString(char Quote) {
  advance(1);
  while (!atEnd() && Text_[Position_] != Quote && Text_[Position_] != '\n')
    advance(Quote == '"' && Text_[Position_] == '\\' ? 2 : 1);
  advance(1);
}

void TomlScanner::skipMultiLine(char Quote) {
  advance(MultiLineQuotes);
  while (!atEnd() && countQuotes(Quote) < MultiLineQuotes)
    advance(Quote == '"' && Text_[Position_] == '\\' ? 2 : 1);
  advance(countQuotes(Quote));
}

} // namespace

std::optional<DocumentFault> scanToml(std::string_view Text) {
  return TomlScanner(Text).findFault();
}

} // namespace amaranth::state
