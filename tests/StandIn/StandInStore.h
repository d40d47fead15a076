#ifndef TESTS_STANDIN_STANDINSTORE_H
#define TESTS_STANDIN_STANDINSTORE_H

#include "tests/StandIn/StandInWire.h"

#include <functional>
#include <map>
#include <set>
#include <span>

namespace ragwortmux::standin {

/// Role of a server in its group.
enum class StandInRole { Primary, Replica };

/// Stores the tables, the log and the open transactions with their row locks of
/// one server, and its role and term. A transaction reads committed rows and
/// its own changes. Deterministic, without I/O.
class StandInStore final {
public:
  using TransactionId = std::uint64_t; ///< 0: no transaction.
  using Rows = std::map<std::string, std::string>;

  /// Called after each change that can end a wait: commits, released locks,
  /// applied entries, changes of role or term, and faults that were set.
  std::function<void()> m_OnChange = [] {};
  /// Called with each transaction that this server commits as primary.
  std::function<void(const StandInLogEntry &)> m_OnCommit =
      [](const StandInLogEntry &) {};

  /// Called with each change that has to survive a restart.
  std::function<void(const StandInFrame &)> m_OnJournal =
      [](const StandInFrame &) {};

  /// Starts a transaction.
  TransactionId begin();
  /// Ends the transaction, with an entry in the log if it has written. Returns
  /// the end of the log; nothing, after a rollback, if the attempt was aborted.
  std::optional<LogPoint> commit(TransactionId Id, const std::string &Attempt);
  /// Discards the transaction and releases its locks. Ignored if it is not
  /// open.
  void rollback(TransactionId Id);
  /// False once the transaction ended, also by a change of role or term.
  bool isOpen(TransactionId Id) const {
    return m_OpenTransactions.contains(Id);
  }

  /// Locks a row for the transaction; false if another one holds the lock.
  bool lock(TransactionId Id, const std::string &Table, const std::string &Key);
  /// Changes a row whose lock the transaction holds.
  void write(TransactionId Id, StandInChange Change);
  /// Marks the transaction as one that writes, and adds the statement's text to
  /// its log entry.
  void recordWrite(TransactionId Id, const std::string &Text);
  /// The value of a row in the view of the transaction; nothing without the
  /// row.
  std::optional<std::string> read(TransactionId Id, const std::string &Table,
                                  const std::string &Key) const;
  /// All rows of a table in the view of the transaction.
  Rows rows(TransactionId Id, const std::string &Table) const;

  /// Raises the term to \p NewTerm: lower terms are refused from then on, and a
  /// primary of a lower term becomes a replica. False if the term is higher
  /// already.
  bool fence(Term NewTerm);
  /// Becomes primary of \p NewTerm and returns the log point at which its term
  /// begins, also when it is primary of it already. Nothing if the term is
  /// lower than the highest known one, or the server has followed another
  /// primary in it.
  std::optional<LogPoint> promote(Term NewTerm);
  /// Becomes a replica of the primary of \p NewTerm at \p Address. False if the
  /// term is lower than the highest known one, or the server is its primary.
  bool follow(Term NewTerm, const std::string &Address = "");
  /// Appends to the log that an attempt is aborted, so that it can no longer
  /// commit. Its session must have ended. True if it had committed before.
  bool endAttempt(const std::string &Attempt);
  /// True if the attempt is aborted and must not commit.
  bool isAborted(const std::string &Attempt) const;

  /// Last position of the longest prefix that this log shares with a log of the
  /// given term runs.
  LogPosition commonPosition(std::span<const StandInTermRun> Runs) const;
  /// The term runs of this log.
  std::vector<StandInTermRun> termRuns() const;
  /// Continues with the log of the primary of \p NewTerm, which is equal up to
  /// \p CommonPosition: discards later entries and their changes.
  void adoptHistory(Term NewTerm, LogPosition CommonPosition);
  /// Appends the next entry of the primary's log and applies its changes.
  void apply(const StandInLogEntry &Entry);

  /// Repeats a change from the journal.
  void restore(const StandInFrame &Frame);

  /// The log; the first entry has position 1.
  const std::vector<StandInLogEntry> &log() const { return m_Log; }
  /// Term of the primary whose log this is, and position of the last entry.
  LogPoint point() const;
  /// The highest term that this server has received.
  Term term() const { return m_Term; }
  StandInRole role() const { return m_Role; }
  /// HOST:PORT of the primary that a replica follows; empty if not given.
  const std::string &primaryAddress() const { return m_PrimaryAddress; }
  /// The term in which the server follows that primary, or last did.
  Term followedTerm() const { return m_FollowedTerm; }

private:
  struct Transaction final {
    std::map<std::pair<std::string, std::string>, std::optional<std::string>>
        m_Changes;            ///< Uncommitted rows.
    bool m_HasWrites = false; ///< Commit appends a log entry.
    std::string m_Statements; ///< SQL text of its writes.
  };

  void append(StandInLogEntry Entry);
  void journal(StandInFrameKind Kind, const LogPoint &Point,
               const std::string &Address = "");
  void applyChanges(const StandInLogEntry &Entry);
  void stepDown();

  std::map<std::string, Rows> m_Tables; ///< Committed rows by table.
  std::map<TransactionId, Transaction>
      m_OpenTransactions; ///< Open transactions.
  std::map<std::pair<std::string, std::string>, TransactionId>
      m_Locks;                               ///< Row locks by table and key.
  std::vector<StandInLogEntry> m_Log;        ///< Entry of position N at N - 1.
  std::set<std::string> m_Committed;         ///< Attempts that committed.
  std::set<std::string> m_Aborted;           ///< Attempts that are aborted.
  TransactionId m_LastTransaction = 0;       ///< Last id assigned.
  StandInRole m_Role = StandInRole::Replica; ///< Role in the group.
  Term m_Term;                               ///< Highest known term.
  Term m_HistoryTerm;                        ///< See point().
  std::string m_PrimaryAddress;              ///< See primaryAddress().
  Term m_FollowedTerm;                       ///< See followedTerm().
  LogPoint m_PromotedAt; ///< Log point of the last promotion.
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINSTORE_H
