#include "tests/StandIn/StandInSql.h"

#include <cctype>
#include <charconv>
#include <span>

namespace ragwortmux::standin {

namespace {

enum class TokenKind { Word, Number, Literal, Symbol };

struct Token final {
  TokenKind m_Kind;   ///< Kind of token.
  std::string m_Text; ///< Words in lower case, literals without quotes.
};

bool isWordCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '_' || Character == '.';
}

/// Removes a quoted literal from the front of \p Text and returns its value;
/// nothing if the closing quote is missing.
std::optional<std::string> takeLiteral(std::string_view &Text) {
  std::string Value;
  for (std::size_t Index = 1; Index < Text.size(); ++Index) {
    if (Text[Index] == '\'' && Text.substr(Index + 1).starts_with('\'')) {
      ++Index;
    } else if (Text[Index] == '\'') {
      Text.remove_prefix(Index + 1);
      return Value;
    }
    Value.push_back(Text[Index]);
  }
  return std::nullopt;
}

Token takeWord(std::string_view &Text) {
  std::size_t Length = 1;
  while (Length < Text.size() && isWordCharacter(Text[Length])) {
    ++Length;
  }
  const bool Number =
      std::isalpha(static_cast<unsigned char>(Text[0])) == 0 && Text[0] != '_';
  std::string Word;
  for (const char Character : Text.substr(0, Length)) {
    Word.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(Character))));
  }
  Text.remove_prefix(Length);
  return {Number ? TokenKind::Number : TokenKind::Word, std::move(Word)};
}

/// Removes the first statement and its semicolon from the front of \p Text and
/// returns its tokens; nothing if a literal has no closing quote.
std::optional<std::vector<Token>> takeTokens(std::string_view &Text) {
  std::vector<Token> Tokens;
  while (!Text.empty()) {
    const char First = Text.front();
    if (std::isspace(static_cast<unsigned char>(First)) != 0) {
      Text.remove_prefix(1);
      continue;
    }
    if (First == '\'') {
      auto Literal = takeLiteral(Text);
      if (!Literal) {
        return std::nullopt;
      }
      Tokens.push_back({TokenKind::Literal, std::move(*Literal)});
      continue;
    }
    const bool Negative = First == '-' && Text.size() > 1 &&
                          std::isdigit(static_cast<unsigned char>(Text[1]));
    if (Negative || isWordCharacter(First)) {
      Tokens.push_back(takeWord(Text));
      continue;
    }
    Text.remove_prefix(1);
    if (First == ';') {
      break;
    }
    Tokens.push_back({TokenKind::Symbol, std::string(1, First)});
  }
  return Tokens;
}

/// Matches the tokens of one statement against a pattern.
class Matcher final {
public:
  explicit Matcher(std::span<const Token> Tokens) : m_Tokens(Tokens) {}

  /// True if the tokens equal the blank-separated words of \p Pattern. `$w`
  /// captures a word, `$v` a literal or a number, `$*` all remaining tokens.
  bool matches(std::string_view Pattern) {
    m_Captures.clear();
    std::size_t Index = 0;
    while (!Pattern.empty()) {
      const std::string_view Part = Pattern.substr(0, Pattern.find(' '));
      Pattern.remove_prefix(std::min(Pattern.size(), Part.size() + 1));
      if (Part == "$*") {
        m_Rest = m_Tokens.subspan(Index);
        return true;
      }
      if (Index == m_Tokens.size() || !matchesOne(m_Tokens[Index], Part)) {
        return false;
      }
      ++Index;
    }
    return Index == m_Tokens.size();
  }

  const std::string &capture(std::size_t Index) const {
    return m_Captures[Index];
  }
  std::span<const Token> rest() const { return m_Rest; }

private:
  bool matchesOne(const Token &Candidate, std::string_view Part) {
    if (Part == "$w" && Candidate.m_Kind == TokenKind::Word) {
      m_Captures.push_back(Candidate.m_Text);
      return true;
    }
    if (Part == "$v" && (Candidate.m_Kind == TokenKind::Literal ||
                         Candidate.m_Kind == TokenKind::Number)) {
      m_Captures.push_back(Candidate.m_Text);
      return true;
    }
    return Candidate.m_Kind != TokenKind::Literal && Candidate.m_Text == Part;
  }

  std::span<const Token> m_Tokens;     ///< Tokens of the statement.
  std::vector<std::string> m_Captures; ///< Captures of `$w` and `$v`.
  std::span<const Token> m_Rest;       ///< Capture of `$*`.
};

/// Parses the arguments `a, b, c)` of a call, which are literals and numbers.
std::optional<std::vector<std::string>>
parseArguments(std::span<const Token> Tokens) {
  std::vector<std::string> Arguments;
  if (Tokens.size() == 1 && Tokens[0].m_Text == ")") {
    return Arguments;
  }
  for (std::size_t Index = 0; Index + 1 < Tokens.size(); Index += 2) {
    const bool Last = Index + 2 == Tokens.size();
    const Token &Value = Tokens[Index];
    if ((Value.m_Kind != TokenKind::Literal &&
         Value.m_Kind != TokenKind::Number) ||
        Tokens[Index + 1].m_Text != (Last ? ")" : ",")) {
      return std::nullopt;
    }
    Arguments.push_back(Value.m_Text);
  }
  if (Tokens.empty() || Tokens.size() % 2 != 0) {
    return std::nullopt;
  }
  return Arguments;
}

using Statement = StandInStatement;

/// Parses transaction control, DISCARD ALL, SET, RESET and SHOW.
bool parseControl(Matcher &Match, Statement &Parsed) {
  struct Form final {
    std::string_view m_Pattern;
    StandInStatementType m_Type;
  };
  static constexpr Form Forms[] = {
      {"begin", StandInStatementType::Begin},
      {"begin transaction", StandInStatementType::Begin},
      {"start transaction", StandInStatementType::Begin},
      {"commit", StandInStatementType::Commit},
      {"end", StandInStatementType::Commit},
      {"rollback", StandInStatementType::Rollback},
      {"abort", StandInStatementType::Rollback},
      {"discard all", StandInStatementType::DiscardAll},
  };
  for (const Form &Candidate : Forms) {
    if (Match.matches(Candidate.m_Pattern)) {
      Parsed.m_Type = Candidate.m_Type;
      return true;
    }
  }
  for (const std::string_view Pattern :
       {"set $w = $v", "set $w to $v", "set $w = $w", "set $w to $w"}) {
    if (Match.matches(Pattern)) {
      Parsed.m_Type = StandInStatementType::Set;
      Parsed.m_Name = Match.capture(0);
      Parsed.m_Value = Match.capture(1);
      return true;
    }
  }
  for (const std::string_view Pattern : {"reset $w", "show $w"}) {
    if (Match.matches(Pattern)) {
      Parsed.m_Type = Pattern == "show $w" ? StandInStatementType::Show
                                           : StandInStatementType::Set;
      Parsed.m_Name = Match.capture(0);
      return true;
    }
  }
  return false;
}

/// Parses statements that create tables or change rows.
bool parseWrite(Matcher &Match, Statement &Parsed) {
  if (Match.matches("create table $w") ||
      Match.matches("create table $w ( $*")) {
    Parsed.m_Type = StandInStatementType::CreateTable;
    Parsed.m_Name = Match.capture(0);
    return true;
  }
  if (Match.matches("insert into $w values ( $v , $v )") ||
      Match.matches("insert into $w ( k , v ) values ( $v , $v )")) {
    Parsed.m_Type = StandInStatementType::Insert;
    Parsed.m_Key = Match.capture(1);
    Parsed.m_Value = Match.capture(2);
  } else if (Match.matches("update $w set v = $v where k = $v")) {
    Parsed.m_Type = StandInStatementType::Update;
    Parsed.m_Key = Match.capture(2);
    Parsed.m_Value = Match.capture(1);
  } else if (Match.matches("update $w set v = v + $v where k = $v") ||
             Match.matches("update $w set v = v - $v where k = $v")) {
    Parsed.m_Type = StandInStatementType::UpdateAdd;
    Parsed.m_Key = Match.capture(2);
    const std::string &Amount = Match.capture(1);
    std::from_chars(Amount.data(), Amount.data() + Amount.size(),
                    Parsed.m_Amount);
    if (Match.matches("update $w set v = v - $*")) {
      Parsed.m_Amount = -Parsed.m_Amount;
    }
  } else if (Match.matches("delete from $w where k = $v")) {
    Parsed.m_Type = StandInStatementType::Delete;
    Parsed.m_Key = Match.capture(1);
  } else {
    return false;
  }
  Parsed.m_Name = Match.capture(0);
  return true;
}

/// Parses queries and function calls.
bool parseSelect(Matcher &Match, Statement &Parsed) {
  if (Match.matches("select v from $w where k = $v") ||
      Match.matches("select v from $w where k = $v for update")) {
    Parsed.m_Type = StandInStatementType::SelectValue;
    if (Match.matches("select v from $w where k = $v for update")) {
      Parsed.m_Type = StandInStatementType::SelectForUpdate;
    }
    Parsed.m_Key = Match.capture(1);
  } else if (Match.matches("select * from $w")) {
    Parsed.m_Type = StandInStatementType::SelectAll;
  } else if (Match.matches("select count ( * ) from $w")) {
    Parsed.m_Type = StandInStatementType::SelectCount;
  } else if (Match.matches("select $v")) {
    Parsed.m_Type = StandInStatementType::SelectLiteral;
    Parsed.m_Value = Match.capture(0);
    return true;
  } else if (Match.matches("select $w ( $*")) {
    auto Arguments = parseArguments(Match.rest());
    if (!Arguments) {
      return false;
    }
    Parsed.m_Type = StandInStatementType::Call;
    Parsed.m_Arguments = std::move(*Arguments);
  } else {
    return false;
  }
  Parsed.m_Name = Match.capture(0);
  return true;
}

/// The text without surrounding white space and final semicolons.
std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() &&
         (std::isspace(static_cast<unsigned char>(Text.front())) != 0)) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() &&
         (std::isspace(static_cast<unsigned char>(Text.back())) != 0 ||
          Text.back() == ';')) {
    Text.remove_suffix(1);
  }
  return Text;
}

} // namespace

bool isWrite(StandInStatementType Type) {
  return Type == StandInStatementType::CreateTable ||
         Type == StandInStatementType::Insert ||
         Type == StandInStatementType::Update ||
         Type == StandInStatementType::UpdateAdd ||
         Type == StandInStatementType::Delete ||
         Type == StandInStatementType::SelectForUpdate;
}

bool isData(const StandInStatement &Statement) {
  switch (Statement.m_Type) {
  case StandInStatementType::Call:
    return !Statement.m_Name.starts_with("ragwortmux_") &&
           !Statement.m_Name.starts_with("standin_");
  case StandInStatementType::SelectValue:
  case StandInStatementType::SelectAll:
  case StandInStatementType::SelectCount:
  case StandInStatementType::SelectLiteral:
    return true;
  default:
    return isWrite(Statement.m_Type);
  }
}

std::optional<std::vector<StandInStatement>>
parseStandInSql(std::string_view Sql) {
  std::vector<StandInStatement> Statements;
  while (!Sql.empty()) {
    const std::string_view Before = Sql;
    const auto Tokens = takeTokens(Sql);
    if (!Tokens) {
      return std::nullopt;
    }
    if (Tokens->empty()) {
      continue;
    }
    StandInStatement Parsed;
    Parsed.m_Text = trimmed(Before.substr(0, Before.size() - Sql.size()));
    Matcher Match(*Tokens);
    if (!parseControl(Match, Parsed) && !parseWrite(Match, Parsed) &&
        !parseSelect(Match, Parsed)) {
      return std::nullopt;
    }
    Statements.push_back(std::move(Parsed));
  }
  return Statements;
}

} // namespace ragwortmux::standin
