#ifndef TESTS_STANDIN_STANDINSQL_H
#define TESTS_STANDIN_STANDINSQL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux::standin {

/// Kinds of statements.
enum class StandInStatementType {
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

/// One parsed statement of the supported SQL subset.
struct StandInStatement final {
  StandInStatementType m_Type =
      StandInStatementType::Begin; ///< Kind of statement.
  std::string m_Name;  ///< Table, function or setting, in lower case.
  std::string m_Key;   ///< Key of the row.
  std::string m_Value; ///< New value of the row or the setting, or a literal.
  std::int64_t m_Amount = 0;            ///< Number that UpdateAdd adds.
  std::vector<std::string> m_Arguments; ///< Arguments of a function.
  std::string m_Text;                   ///< Text of the statement.
};

/// True if only a primary runs the statement: it creates a table, or changes or
/// locks rows.
bool isWrite(StandInStatementType Type);

/// True for data statements: those that read or write rows, and functions other
/// than ragwortmux_* and standin_*. Only these need a statement slot.
bool isData(const StandInStatement &Statement);

/// Parses the statements of one message, which semicolons separate; nothing on
/// a syntax error.
std::optional<std::vector<StandInStatement>>
parseStandInSql(std::string_view Sql);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSQL_H
