#include "ragwortmux/Process/Backend/SessionCommands.h"

#include <algorithm>
#include <array>
#include <string>

namespace ragwortmux {

namespace {

constexpr std::string_view Blanks = " \t\r\n\f\v";

/// Command tags of PostgreSQL; DECLARE CURSOR may be WITH HOLD.
constexpr std::array<std::string_view, 10> SessionTags = {
    "SET",         "RESET",  "PREPARE",  "DEALLOCATE", "DEALLOCATE ALL",
    "DISCARD ALL", "LISTEN", "UNLISTEN", "LOAD",       "DECLARE CURSOR"};

/// Removes and returns the first word of \p Sql in lower case.
std::string consumeLowerWord(std::string_view &Sql) {
  const std::size_t Start = std::min(Sql.find_first_not_of(Blanks), Sql.size());
  Sql.remove_prefix(Start);
  const std::size_t Length = std::min(Sql.find_first_of(Blanks), Sql.size());
  std::string Word(Sql.substr(0, Length));
  Sql.remove_prefix(Length);
  std::ranges::transform(Word, Word.begin(), [](char Each) {
    return Each >= 'A' && Each <= 'Z' ? static_cast<char>(Each - 'A' + 'a')
                                      : Each;
  });
  return Word;
}

/// True if \p Sql is one `SET LOCAL` or `SET TRANSACTION`.
bool endsWithTransaction(std::string_view Sql) {
  const std::size_t End = Sql.find(';');
  const bool IsSingle =
      End == std::string_view::npos ||
      Sql.find_first_not_of(Blanks, End + 1) == std::string_view::npos;
  if (!IsSingle || consumeLowerWord(Sql) != "set")
    return false;
  const std::string Scope = consumeLowerWord(Sql);
  return Scope == "local" || Scope == "transaction";
}

} // namespace

bool changesSession(std::string_view CommandTag, std::string_view Sql) {
  if (std::ranges::find(SessionTags, CommandTag) == SessionTags.end())
    return false;
  return CommandTag != "SET" || !endsWithTransaction(Sql);
}

} // namespace ragwortmux
