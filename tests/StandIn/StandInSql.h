#ifndef TESTS_STANDIN_STANDINSQL_H
#define TESTS_STANDIN_STANDINSQL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux::standin {

/// What a statement does.
enum class StandInVerb {
  Begin,
  Commit,
  Rollback,
  CreateTable,
  Insert,
  Update,
  UpdateAdd,
  Delete,
  SelectValue,
  SelectForUpdate,
  SelectAll,
  SelectCount,
  SelectLiteral,
  Call,
  Set,
  Show,
  DiscardAll,
};

/// One statement of the supported subset.
struct StandInStatement final {
  StandInVerb m_Verb = StandInVerb::Begin; ///< What it does.
  std::string m_Name;  ///< Table, function or setting, in lower case.
  std::string m_Key;   ///< Key of the row.
  std::string m_Value; ///< New value of the row or the setting, or a literal.
  std::int64_t m_Amount = 0;            ///< Added by UpdateAdd.
  std::vector<std::string> m_Arguments; ///< Of a function.
  std::string m_Text;                   ///< As written.
};

/// True if the statement changes rows.
bool isWrite(StandInVerb Verb);

/// True if the statement reads or changes rows, or is a function other than
/// ragwortmux_* and standin_*; only these take a statement slot.
bool isData(const StandInStatement &Statement);

/// Parses one message of statements separated by semicolons; nothing on a
/// syntax error.
std::optional<std::vector<StandInStatement>>
parseStandInSql(std::string_view Sql);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSQL_H
