#include "State/TomlScan.h"

#include <algorithm>
#include <cstddef>

namespace amaranth::state {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::size_t MultiLineQuotes = 3;
/// Up to two quotes may stand directly before the closing ones.
constexpr std::size_t MaxClosingQuotes = MultiLineQuotes + 2;

/// No key of a document or of the settings has more than one.
constexpr std::size_t MaxDots = 8;

/// Walks over TOML text, one token at a time.
class TomlScan final {
public:
  explicit TomlScan(std::string_view Text) : Text_(Text) {
    if (Text_.starts_with(ByteOrderMark))
      Text_.remove_prefix(ByteOrderMark.size());
  }

  std::optional<DocumentFault> find();

private:
  bool atEnd() const { return At_ >= Text_.size(); }
  std::size_t quotesHere(char Quote) const;
  /// Counts the dots since the last character that cannot be within a key;
  /// false if there are too many.
  bool countDot(char C);
  void advance(std::size_t Bytes);
  void skipComment();
  void skipString(char Quote);
  void skipMultiLine(char Quote);

  std::string_view Text_;
  std::size_t At_ = 0;
  int Line_ = 1;
  std::size_t Dots_ = 0;
};

std::optional<DocumentFault> TomlScan::find() {
  while (!atEnd()) {
    char C = Text_[At_];
    if (static_cast<unsigned char>(C) > '\x7f')
      return DocumentFault{Line_, "", "a non-ASCII character",
                           "non-ASCII characters in strings and comments only"};
    if (!countDot(C))
      return DocumentFault{Line_, "", "a dotted key of many parts",
                           "at most " + std::to_string(MaxDots) + " dots"};
    if (C == '#')
      skipComment();
    else if ((C == '"' || C == '\'') && quotesHere(C) >= MultiLineQuotes)
      skipMultiLine(C);
    else if (C == '"' || C == '\'')
      skipString(C);
    else
      advance(1);
  }
  return std::nullopt;
}

bool TomlScan::countDot(char C) {
  if (C == '\n' || C == '=' || C == ',' || C == '[' || C == '{')
    Dots_ = 0;
  Dots_ += C == '.' ? 1 : 0;
  return Dots_ <= MaxDots;
}

std::size_t TomlScan::quotesHere(char Quote) const {
  // More than this many quotes never belong together.
  std::string_view Next = Text_.substr(At_, MaxClosingQuotes);
  return std::min(Next.find_first_not_of(Quote), Next.size());
}

void TomlScan::advance(std::size_t Bytes) {
  for (; Bytes > 0 && !atEnd(); --Bytes)
    Line_ += Text_[At_++] == '\n' ? 1 : 0;
}

void TomlScan::skipComment() {
  At_ = std::min(Text_.find('\n', At_), Text_.size());
}

void TomlScan::skipString(char Quote) {
  advance(1);
  while (!atEnd() && Text_[At_] != Quote && Text_[At_] != '\n')
    advance(Quote == '"' && Text_[At_] == '\\' ? 2 : 1);
  advance(1);
}

void TomlScan::skipMultiLine(char Quote) {
  advance(MultiLineQuotes);
  while (!atEnd() && quotesHere(Quote) < MultiLineQuotes)
    advance(Quote == '"' && Text_[At_] == '\\' ? 2 : 1);
  advance(quotesHere(Quote));
}

} // namespace

std::optional<DocumentFault> scanToml(std::string_view Text) {
  return TomlScan(Text).find();
}

} // namespace amaranth::state
