#ifndef TESTS_STANDIN_STANDINSESSION_H
#define TESTS_STANDIN_STANDINSESSION_H

#include "tests/StandIn/StandInFunctions.h"

namespace ragwortmux::standin {

/// Runs the messages of one connection: parses them, checks the term, runs the
/// statements and builds the response. Deterministic, without I/O and clock:
/// the owner calls step() until a message is done.
class StandInSession final {
public:
  /// \p ConnectionTerm is the term for which the connection was opened; 0 for a
  /// control connection, whose statements are not checked against the term.
  StandInSession(StandInContext &Context, Term ConnectionTerm);
  StandInSession(const StandInSession &) = delete;
  StandInSession &operator=(const StandInSession &) = delete;
  ~StandInSession();

  /// Starts the next message; the previous one must be done and its response
  /// taken.
  void start(const std::string &Sql);
  /// Ends the message with an error and rolls an open transaction back; a
  /// transaction block then fails until its end.
  void refuse(const PgError &Error);
  /// Ends the message with an error before any of it runs, and leaves an open
  /// transaction as it is.
  void refuseWithoutRollback(const PgError &Error);
  /// Runs the message as far as possible. Returns nothing when it is done;
  /// otherwise the time of the next call, which comes earlier after a change of
  /// the store.
  std::optional<Instant> step(Instant Now);
  /// Makes the next step() end the running statement with an error.
  void cancel() { m_Cancelled = true; }
  /// Takes the response to the message, which ends with ReadyForQuery.
  std::string takeAnswer();

  /// True if the message needs one of the server's statement slots.
  bool needsSlot() const;
  /// True if the message has a COMMIT, or a write outside of a transaction
  /// block.
  bool wouldCommit() const;
  /// True if the message has committed a write.
  bool hasCommitted() const { return m_HasCommitted; }
  /// Attempt id of the current transaction, or of the next one if none is open.
  const std::string &attempt() const { return m_Attempt; }

private:
  std::optional<PgResult> run(const StandInStatement &Statement, Instant Now,
                              Instant &RetryAt);
  std::optional<PgResult>
  checkPreconditions(const StandInStatement &Statement) const;
  std::optional<PgResult> runData(const StandInStatement &Statement,
                                  Instant Now, Instant &RetryAt);
  std::optional<PgResult> runWrite(const StandInStatement &Statement,
                                   Instant Now, Instant &RetryAt);
  PgResult writeRow(const StandInStatement &Statement);
  PgResult readRows(const StandInStatement &Statement);
  PgResult endBlock(const StandInStatement &Statement);
  PgResult runSetting(const StandInStatement &Statement);
  std::optional<PgResult> commit();
  void finish();
  void abort();

  StandInContext &m_Context;    ///< State of the server.
  StandInFunctions m_Functions; ///< Functions that statements call.
  Term m_Term;                  ///< Term of the connection; 0: control.
  std::vector<StandInStatement> m_Statements; ///< Statements of the message.
  std::size_t m_StatementIndex = 0;           ///< Index of the next statement.
  std::optional<Instant> m_StartedAt;         ///< When it was first run.
  std::string m_Answer;                       ///< Response so far.
  StandInStore::TransactionId m_Transaction = 0; ///< Open transaction; 0: none.
  bool m_InBlock = false;                        ///< In a transaction block.
  bool m_BlockFailed = false;                    ///< The block failed; only its
                                                 ///< end is accepted.
  bool m_Cancelled = false;                      ///< See cancel().
  bool m_HasCommitted = false;                   ///< See hasCommitted().
  bool m_RanData = false;       ///< The transaction has run a data statement.
  std::string m_Attempt;        ///< See attempt().
  PgParameters m_SettingValues; ///< Values of SET, by setting.
  std::optional<LogPoint>
      m_LatestPoint; ///< Log point of the last statement or commit.
  std::optional<LogPoint>
      m_ReportedPoint; ///< Log point last sent to the client.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSESSION_H
