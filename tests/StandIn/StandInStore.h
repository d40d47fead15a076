#ifndef TESTS_STANDIN_STANDINSTORE_H
#define TESTS_STANDIN_STANDINSTORE_H

#include "tests/StandIn/StandInWire.h"

#include <functional>
#include <map>
#include <set>
#include <span>

namespace ragwortmux::standin {

/// What a server is to its group.
enum class StandInRole { Primary, Replica };

/// Tables, transactions with row locks, and the log of one server. Reads see
/// committed rows and the transaction's own changes. Deterministic.
class StandInStore final {
public:
  using TransactionId = std::uint64_t; ///< 0 is no transaction.
  using Rows = std::map<std::string, std::string>;

  /// Called after every change that somebody may wait for.
  std::function<void()> m_OnChange = [] {};
  /// Called with each transaction committed here as primary.
  std::function<void(const StandInLogEntry &)> m_OnCommit =
      [](const StandInLogEntry &) {};

  /// Called with each change that a restarted server must know of.
  std::function<void(const StandInFrame &)> m_OnJournal =
      [](const StandInFrame &) {};

  /// Starts a transaction.
  TransactionId begin();
  /// Appends the transaction to the log if it has written. Nothing if the
  /// attempt has been ended.
  std::optional<LogPoint> commit(TransactionId Id, const std::string &Attempt);
  /// Drops the transaction and its locks. Ignored if it is not open.
  void rollback(TransactionId Id);
  /// False once the transaction was ended, also by a change of role.
  bool isOpen(TransactionId Id) const { return m_Open.contains(Id); }

  /// Locks a row for the transaction; false if another one holds the lock.
  bool lock(TransactionId Id, const std::string &Table, const std::string &Key);
  /// Changes a row that the transaction has locked.
  void write(TransactionId Id, StandInChange Change);
  /// Notes that the transaction writes, and the statement's text.
  void noteStatement(TransactionId Id, const std::string &Text);
  /// The value of a row as the transaction sees it.
  std::optional<std::string> read(TransactionId Id, const std::string &Table,
                                  const std::string &Key) const;
  /// All rows of a table as the transaction sees them.
  Rows rows(TransactionId Id, const std::string &Table) const;

  /// Refuses lower terms from now on; a primary of a lower term stops being
  /// one. False if the own term is higher.
  bool fence(Term NewTerm);
  /// Becomes primary. Answers where the term began; nothing if refused.
  std::optional<LogPoint> promote(Term NewTerm);
  /// Becomes a replica of the primary at \p Address; false if refused.
  bool follow(Term NewTerm, const std::string &Address = "");
  /// Ends an attempt whose session is gone: true if it had committed.
  bool endAttempt(const std::string &Attempt);
  /// True if the attempt has been ended and must not commit.
  bool isAborted(const std::string &Attempt) const;

  /// The longest prefix that this log shares with a log of the given shape.
  LogPosition commonPosition(std::span<const StandInTermRun> Runs) const;
  /// The shape of this log.
  std::vector<StandInTermRun> termRuns() const;
  /// Joins the history of \p NewTerm: drops entries after \p Common.
  void adopt(Term NewTerm, LogPosition Common);
  /// Appends the next entry of the primary's log.
  void apply(const StandInLogEntry &Entry);

  /// Repeats a change that m_OnJournal was called with.
  void restore(const StandInFrame &Frame);

  /// Committed transactions in order; position 1 comes first.
  const std::vector<StandInLogEntry> &log() const { return m_Log; }
  /// Term of the history and end of the log.
  LogPoint point() const;
  /// The highest term that this server knows of.
  Term term() const { return m_Term; }
  StandInRole role() const { return m_Role; }
  /// HOST:PORT of the primary that a replica follows; may be empty.
  const std::string &primaryAddress() const { return m_PrimaryAddress; }
  /// The term in which it follows that primary.
  Term followedTerm() const { return m_FollowedTerm; }

private:
  struct Transaction final {
    std::map<std::pair<std::string, std::string>, std::optional<std::string>>
        m_Changes;            ///< Uncommitted rows.
    bool m_Writes = false;    ///< Goes into the log.
    std::string m_Statements; ///< Text of its writes.
  };

  void append(StandInLogEntry Entry);
  void journal(StandInFrameKind Kind, const LogPoint &Point,
               const std::string &Address = "");
  void applyChanges(const StandInLogEntry &Entry);
  void stepDown();

  std::map<std::string, Rows> m_Tables;        ///< Committed rows.
  std::map<TransactionId, Transaction> m_Open; ///< Transactions.
  std::map<std::pair<std::string, std::string>, TransactionId>
      m_Locks;                               ///< Row locks.
  std::vector<StandInLogEntry> m_Log;        ///< Entry of position N at N - 1.
  std::set<std::string> m_Committed;         ///< Attempts that committed.
  std::set<std::string> m_Aborted;           ///< Attempts that were ended.
  TransactionId m_LastTransaction = 0;       ///< Last id given out.
  StandInRole m_Role = StandInRole::Replica; ///< Own role.
  Term m_Term;                               ///< Highest known term.
  Term m_HistoryTerm;                        ///< Term of the log's history.
  std::string m_PrimaryAddress;              ///< See primaryAddress().
  Term m_FollowedTerm;                       ///< Term followed as replica.
  LogPoint m_PromotedAt;                     ///< Where the own term began.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSTORE_H
