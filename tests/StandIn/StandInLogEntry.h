#ifndef TESTS_STANDIN_STANDINLOGENTRY_H
#define TESTS_STANDIN_STANDINLOGENTRY_H

#include "ragwortmux/Version/LogPoint.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortmux::standin {

/// The change of one row by a transaction.
struct StandInChange final {
  std::string m_Table; ///< Table of the row.
  std::string m_Key;   ///< Key of the row.
  std::optional<std::string>
      m_Value; ///< New value; nothing if the row is deleted.

  friend bool operator==(const StandInChange &,
                         const StandInChange &) = default;
};

/// One entry of the replicated log: a committed transaction, or the mark that
/// an attempt was aborted.
struct StandInLogEntry final {
  LogPoint m_Point;              ///< Term of the commit, position in the log.
  std::string m_Attempt;         ///< Attempt id; empty if the client set none.
  bool m_AttemptAborted = false; ///< Marks the attempt as aborted: it must not
                                 ///< commit.
  std::string m_Statements;      ///< SQL text of its writes.
  std::vector<StandInChange> m_Changes; ///< Row changes.

  friend bool operator==(const StandInLogEntry &,
                         const StandInLogEntry &) = default;
};

/// A run of consecutive log entries of one term. The runs of a log, in order,
/// describe it well enough to find the prefix that it shares with another log.
struct StandInTermRun final {
  Term m_Term;                ///< Term of the entries.
  LogPosition m_LastPosition; ///< Position of the last entry of the run.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINLOGENTRY_H
