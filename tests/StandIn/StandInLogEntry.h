#ifndef TESTS_STANDIN_STANDINLOGENTRY_H
#define TESTS_STANDIN_STANDINLOGENTRY_H

#include "ragwortmux/Version/LogPoint.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// The new value of one row; nothing: the row is deleted.
struct StandInChange final {
  std::string m_Table;                ///< Table of the row.
  std::string m_Key;                  ///< Key of the row.
  std::optional<std::string> m_Value; ///< Value of the row.

  friend bool operator==(const StandInChange &,
                         const StandInChange &) = default;
};

/// One committed transaction, or the end of an attempt.
struct StandInLogEntry final {
  LogPoint m_Point;                     ///< Term it was committed in; position.
  std::string m_Attempt;                ///< Attempt id; may be empty.
  bool m_AttemptAborted = false;        ///< The attempt can never commit.
  std::string m_Statements;             ///< Text of its writes.
  std::vector<StandInChange> m_Changes; ///< Rows changed.

  friend bool operator==(const StandInLogEntry &,
                         const StandInLogEntry &) = default;
};

/// The entries of one term, by the last position among them.
struct StandInTermRun final {
  Term m_Term;        ///< The term.
  LogPosition m_Last; ///< Position of its last entry.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINLOGENTRY_H
