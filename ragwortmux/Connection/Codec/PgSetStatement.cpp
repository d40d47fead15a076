#include "ragwortmux/Connection/Codec/PgSetStatement.h"

namespace ragwortmux {

namespace {

constexpr std::string_view Blanks = " \t\r\n\f\v";
constexpr std::string_view NamePrefix = "ragwortmux.";

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool isWordCharacter(char Character) {
  const char Lower = toLower(Character);
  return (Lower >= 'a' && Lower <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '_' ||
         Character == '.' || Character == '-' || Character == ':';
}

/// Scans the words, literals and symbols of one query from front to back.
class Scanner final {
public:
  explicit Scanner(std::string_view Text) : m_Text(Text) {}

  /// Consumes a word and returns it unchanged; empty if there is none.
  std::string_view consumeWord() {
    skipBlanks();
    std::size_t Length = 0;
    while (Length < m_Text.size() && isWordCharacter(m_Text[Length])) {
      ++Length;
    }
    const std::string_view Word = m_Text.substr(0, Length);
    m_Text.remove_prefix(Length);
    return Word;
  }

  /// Consumes a literal in single quotes, in which a doubled quote stands for
  /// one, and returns its value; none if there is no complete literal.
  std::optional<std::string> consumeLiteral() {
    if (!consumeSymbol('\'')) {
      return std::nullopt;
    }
    std::string Value;
    while (!m_Text.empty()) {
      const char Character = m_Text.front();
      m_Text.remove_prefix(1);
      if (Character == '\'' && !m_Text.starts_with('\'')) {
        return Value;
      }
      if (Character == '\'') {
        m_Text.remove_prefix(1);
      }
      Value.push_back(Character);
    }
    return std::nullopt;
  }

  /// Consumes \p Symbol; false if the next character is another one.
  bool consumeSymbol(char Symbol) {
    skipBlanks();
    if (!m_Text.starts_with(Symbol)) {
      return false;
    }
    m_Text.remove_prefix(1);
    return true;
  }

  /// Consumes an optional semicolon; true if nothing follows.
  bool consumeEnd() {
    consumeSymbol(';');
    skipBlanks();
    return m_Text.empty();
  }

private:
  void skipBlanks() {
    const std::size_t First = m_Text.find_first_not_of(Blanks);
    m_Text.remove_prefix(First == std::string_view::npos ? m_Text.size()
                                                         : First);
  }

  std::string_view m_Text; ///< Remaining text.
};

std::string lowerCase(std::string_view Text) {
  std::string Lower;
  for (const char Character : Text) {
    Lower.push_back(toLower(Character));
  }
  return Lower;
}

} // namespace

std::optional<PgSetStatement> parsePgSetStatement(std::string_view Sql) {
  Scanner Input(Sql);
  const std::string Verb = lowerCase(Input.consumeWord());
  if (Verb != "set" && Verb != "reset") {
    return std::nullopt;
  }
  const std::string Name = lowerCase(Input.consumeWord());
  if (!Name.starts_with(NamePrefix) || Name.size() == NamePrefix.size()) {
    return std::nullopt;
  }
  PgSetStatement Statement{Name.substr(NamePrefix.size()), std::nullopt};
  if (Verb == "set") {
    if (!Input.consumeSymbol('=') && lowerCase(Input.consumeWord()) != "to") {
      return std::nullopt;
    }
    Statement.m_Value = Input.consumeLiteral();
    if (!Statement.m_Value) {
      Statement.m_Value = Input.consumeWord();
      if (Statement.m_Value->empty()) {
        return std::nullopt;
      }
      if (lowerCase(*Statement.m_Value) == "default") {
        Statement.m_Value.reset();
      }
    }
  }
  if (!Input.consumeEnd()) {
    return std::nullopt;
  }
  return Statement;
}

} // namespace ragwortmux
