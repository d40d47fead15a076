#ifndef TESTS_STANDIN_STANDINFUNCTIONS_H
#define TESTS_STANDIN_STANDINFUNCTIONS_H

#include "ragwortmux/Connection/Codec/PgTypes.h"
#include "tests/StandIn/StandInContext.h"
#include "tests/StandIn/StandInSql.h"

namespace ragwortmux::standin {

/// Implements the functions that `SELECT f(...)` can call.
class StandInFunctions final {
public:
  explicit StandInFunctions(StandInContext &Context) : m_Context(Context) {}

  /// Runs a call that started at \p StartedAt. Returns nothing while the
  /// function still waits: call again at \p RetryAt or after a change of the
  /// store.
  std::optional<PgResult> call(const StandInStatement &Call, Instant StartedAt,
                               Instant Now, Instant &RetryAt);

private:
  std::optional<PgResult> waitPosition(const StandInStatement &Call,
                                       Instant StartedAt, Instant Now,
                                       Instant &RetryAt);
  std::optional<PgResult> sleep(const StandInStatement &Call, Instant StartedAt,
                                Instant Now, Instant &RetryAt);
  PgResult position() const;
  PgResult fence(const StandInStatement &Call);
  PgResult promote(const StandInStatement &Call);
  PgResult follow(const StandInStatement &Call);
  PgResult endAttempt(const StandInStatement &Call);
  PgResult repeat(const StandInStatement &Call) const;
  PgResult fault(const StandInStatement &Call);
  PgResult stats() const;
  PgResult log(const StandInStatement &Call) const;

  StandInContext &m_Context; ///< State of the server.
};

/// A result that is an error.
PgResult standInError(std::string SqlState, std::string Message);

/// A result set of the given columns and rows.
PgResult standInRows(std::initializer_list<const char *> Columns,
                     std::vector<PgRow> Rows);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINFUNCTIONS_H
