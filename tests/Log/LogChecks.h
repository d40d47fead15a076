#ifndef TESTS_LOG_LOGCHECKS_H
#define TESTS_LOG_LOGCHECKS_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace ragwortmux {

/// Checks the safety properties of a replicated log over all its members, under
/// any failures. The network reports the members' actions; the first violation
/// is recorded.
class LogChecks final {
public:
  /// State of a member's user: a hash over all applied entries.
  struct State final {
    LogIndex m_Index;         ///< Last entry applied.
    std::uint64_t m_Hash = 0; ///< Hash over all applied entries.
  };

  /// \p Voter has become the leader of \p Term.
  void onElected(LogTerm Term, const VoterId &Voter) {
    const auto [Found, New] = m_Leaders.emplace(Term, Voter);
    if (!New && Found->second != Voter)
      fail("two leaders in term " + std::to_string(Term.value()));
    m_NewestTerm = std::max(m_NewestTerm, Term);
  }

  /// A member in the state \p Before applies \p Entry. Returns its next state.
  State onApplied(const State &Before, const LogEntry &Entry) {
    const std::string At = "entry " + text(Entry.m_Id);
    if (Entry.m_Id.m_Index.value() != Before.m_Index.value() + 1)
      fail(At + " was applied out of order");
    State After{Entry.m_Id.m_Index, Before.m_Hash * 31 + hash(Entry)};
    const auto [Found, New] =
        m_Committed.emplace(After.m_Index, Committed{Entry.m_Id, After.m_Hash});
    if (!New && (Found->second.m_Id != Entry.m_Id ||
                 Found->second.m_Hash != After.m_Hash))
      fail(
          At + " was applied, but entry " + text(Found->second.m_Id) +
          " is committed at this index: a committed entry was lost or changed");
    if (m_NotCommitted.contains({Entry.m_Id.m_Index, Entry.m_Id.m_Term}))
      fail(At + " was applied after it was reported as not committed");
    if (New && Entry.m_Kind == LogEntryKind::Membership)
      m_Membership = Entry.m_Membership;
    return After;
  }

  /// A member replaces its state by \p Restored, the state in \p Snapshot.
  void onSnapshotRestored(const LogSnapshot &Snapshot, const State &Restored) {
    const auto Found = m_Committed.find(Restored.m_Index);
    if (Found == m_Committed.end() || Snapshot.m_Last != Found->second.m_Id ||
        Restored.m_Hash != Found->second.m_Hash)
      fail("snapshot at " + text(Snapshot.m_Last) +
           " differs from the committed log");
  }

  /// The leadership confirmation \p Token is requested.
  void onConfirmationRequested(std::uint64_t Token) {
    m_RequestedConfirmations[Token] = {m_NewestTerm, newestCommitted()};
  }

  /// \p Token is confirmed to the leader of \p Term, which has applied entries
  /// up to \p Applied.
  void onConfirmed(std::uint64_t Token, LogTerm Term, LogIndex Applied) {
    const auto &[Newest, Committed] = m_RequestedConfirmations.at(Token);
    if (Newest > Term)
      fail("leader of term " + std::to_string(Term.value()) +
           " was confirmed, but term " + std::to_string(Newest.value()) +
           " already had a leader at the time of the request");
    if (Committed > Applied)
      fail("leader of term " + std::to_string(Term.value()) +
           " was confirmed before it had applied all committed entries");
    ++m_Confirmations;
  }

  /// The proposal \p Id is reported as replaced by another entry.
  void onNotCommitted(const EntryId &Id) {
    const auto Found = m_Committed.find(Id.m_Index);
    if (Found != m_Committed.end() && Found->second.m_Id == Id)
      fail("entry " + text(Id) +
           " is committed, but was reported as not committed");
    m_NotCommitted.emplace(Id.m_Index, Id.m_Term);
  }

  /// Records \p What if it is the first violation.
  void fail(const std::string &What) {
    if (!m_Failure)
      m_Failure = What;
  }

  /// The newest committed entry that any member has applied.
  LogIndex newestCommitted() const {
    return m_Committed.empty() ? LogIndex() : m_Committed.rbegin()->first;
  }
  /// The configuration in the newest committed membership entry.
  const LogMembership &membership() const { return m_Membership; }
  /// The first violation, if any.
  const std::optional<std::string> &failure() const { return m_Failure; }
  /// Number of leadership confirmations.
  std::uint64_t confirmations() const { return m_Confirmations; }
  /// Number of terms with a leader.
  std::size_t termsWithLeader() const { return m_Leaders.size(); }

private:
  /// A committed entry.
  struct Committed final {
    EntryId m_Id;         ///< The entry.
    std::uint64_t m_Hash; ///< Hash of the state after it.
  };

  static std::string text(const EntryId &Id) {
    return std::to_string(Id.m_Index.value()) + " of term " +
           std::to_string(Id.m_Term.value());
  }

  static std::uint64_t hash(const LogEntry &Entry) {
    std::string Text = text(Entry.m_Id) + Entry.m_Payload;
    for (const LogMember &Member : Entry.m_Membership.m_Members)
      Text += Member.m_Id.value() + (Member.m_IsVoter ? "+" : "-");
    return std::hash<std::string>()(Text);
  }

  std::map<LogTerm, VoterId> m_Leaders;      ///< Leader by term.
  LogTerm m_NewestTerm;                      ///< Newest term with a leader.
  std::map<LogIndex, Committed> m_Committed; ///< Committed entries by index.
  LogMembership m_Membership;                ///< See membership().
  std::set<std::pair<LogIndex, LogTerm>> m_NotCommitted; ///< Proposals reported
                                                         ///< as not committed.
  /// By token: newest term and committed entry at the time of the request.
  std::map<std::uint64_t, std::pair<LogTerm, LogIndex>>
      m_RequestedConfirmations;
  std::uint64_t m_Confirmations = 0;    ///< See confirmations().
  std::optional<std::string> m_Failure; ///< See failure().
};

} // namespace ragwortmux

#endif // TESTS_LOG_LOGCHECKS_H
