#ifndef TESTS_STANDIN_STANDINFUNCTIONS_H
#define TESTS_STANDIN_STANDINFUNCTIONS_H

#include "ragwortmux/Connection/Codec/PgTypes.h"
#include "tests/StandIn/StandInContext.h"
#include "tests/StandIn/StandInSql.h"

namespace ragwortmux::standin {

/// The functions that `SELECT f(...)` can call.
class StandInFunctions final {
public:
  explicit StandInFunctions(StandInContext &Context) : m_Context(Context) {}

  /// Runs a call that began \p Since. Nothing: not ready yet, the call must be
  /// made again at \p RetryAt or after a change.
  std::optional<PgResult> call(const StandInStatement &Call, Instant Since,
                               Instant Now, Instant &RetryAt);

private:
  std::optional<PgResult> waitPosition(const StandInStatement &Call,
                                       Instant Since, Instant Now,
                                       Instant &RetryAt);
  std::optional<PgResult> sleep(const StandInStatement &Call, Instant Since,
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

  StandInContext &m_Context; ///< The server's state.
};

/// An answer that is an error.
PgResult standInError(std::string SqlState, std::string Message);

/// An answer of named columns and rows.
PgResult standInRows(std::initializer_list<const char *> Columns,
                     std::vector<PgRow> Rows);

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINFUNCTIONS_H
