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

/// What must hold over all members of a replicated log, whatever fails. Fed
/// with what the members do; keeps the first violation.
class LogChecks final {
public:
  /// A member's state: a hash over all entries applied so far.
  struct State final {
    LogIndex m_Index;         ///< Last entry applied.
    std::uint64_t m_Hash = 0; ///< Hash over all of them.
  };

  /// \p Voter says that it leads \p Term.
  void elected(LogTerm Term, const VoterId &Voter) {
    const auto [Found, New] = m_Leaders.emplace(Term, Voter);
    if (!New && Found->second != Voter)
      fail("two leaders in term " + std::to_string(Term.value()));
    m_NewestTerm = std::max(m_NewestTerm, Term);
  }

  /// A member in \p Before applies \p Entry. Returns its next state.
  State applied(const State &Before, const LogEntry &Entry) {
    const std::string At = "entry " + text(Entry.m_Id);
    if (Entry.m_Id.m_Index.value() != Before.m_Index.value() + 1)
      fail(At + " is applied out of order");
    State After{Entry.m_Id.m_Index, Before.m_Hash * 31 + hash(Entry)};
    const auto [Found, New] =
        m_Committed.emplace(After.m_Index, Committed{Entry.m_Id, After.m_Hash});
    if (!New && (Found->second.m_Id != Entry.m_Id ||
                 Found->second.m_Hash != After.m_Hash))
      fail(At + " is applied where " + text(Found->second.m_Id) +
           " was committed: a committed entry was lost or changed");
    if (m_NotCommitted.contains({Entry.m_Id.m_Index, Entry.m_Id.m_Term}))
      fail(At + " is applied after it was said never to be");
    if (New && Entry.m_Kind == LogEntryKind::Membership)
      m_Membership = Entry.m_Membership;
    return After;
  }

  /// A member replaces its state by a snapshot with \p Restored.
  void restored(const LogSnapshot &Snapshot, const State &Restored) {
    const auto Found = m_Committed.find(Restored.m_Index);
    if (Found == m_Committed.end() || Snapshot.m_Last != Found->second.m_Id ||
        Restored.m_Hash != Found->second.m_Hash)
      fail("snapshot at " + text(Snapshot.m_Last) + " differs from the log");
  }

  /// A leadership confirmation \p Token is asked for.
  void asked(std::uint64_t Token) { m_Asked[Token] = {m_NewestTerm, newest()}; }

  /// \p Token is confirmed to the leader of \p Term, which has applied
  /// \p Applied.
  void confirmed(std::uint64_t Token, LogTerm Term, LogIndex Applied) {
    const auto &[Newest, Committed] = m_Asked.at(Token);
    if (Newest > Term)
      fail("leader of term " + std::to_string(Term.value()) +
           " is confirmed, but term " + std::to_string(Newest.value()) +
           " had a leader when it asked");
    if (Committed > Applied)
      fail("leader of term " + std::to_string(Term.value()) +
           " is confirmed with an old state");
    ++m_Confirmations;
  }

  /// A proposal is said to be replaced by another entry.
  void notCommitted(const EntryId &Id) {
    const auto Found = m_Committed.find(Id.m_Index);
    if (Found != m_Committed.end() && Found->second.m_Id == Id)
      fail("entry " + text(Id) + " is committed, but said never to be");
    m_NotCommitted.emplace(Id.m_Index, Id.m_Term);
  }

  /// Keeps \p What if it is the first violation.
  void fail(const std::string &What) {
    if (!m_Failure)
      m_Failure = What;
  }

  /// The newest committed entry that any member has applied.
  LogIndex newest() const {
    return m_Committed.empty() ? LogIndex() : m_Committed.rbegin()->first;
  }
  /// The configuration of the newest committed membership entry.
  const LogMembership &membership() const { return m_Membership; }
  /// The first violation, if any.
  const std::optional<std::string> &failure() const { return m_Failure; }
  /// How often leadership was confirmed.
  std::uint64_t confirmations() const { return m_Confirmations; }
  /// How many terms had a leader.
  std::size_t terms() const { return m_Leaders.size(); }

private:
  /// The entry applied at an index.
  struct Committed final {
    EntryId m_Id;         ///< The entry.
    std::uint64_t m_Hash; ///< State after it.
  };

  static std::string text(const EntryId &Id) {
    return std::to_string(Id.m_Index.value()) + " of term " +
           std::to_string(Id.m_Term.value());
  }

  static std::uint64_t hash(const LogEntry &Entry) {
    std::string Text = text(Entry.m_Id) + Entry.m_Payload;
    for (const LogMember &Member : Entry.m_Membership.m_Members)
      Text += Member.m_Id.value() + (Member.m_Votes ? "+" : "-");
    return std::hash<std::string>()(Text);
  }

  std::map<LogTerm, VoterId> m_Leaders;      ///< By term.
  LogTerm m_NewestTerm;                      ///< Newest with a leader.
  std::map<LogIndex, Committed> m_Committed; ///< By index.
  LogMembership m_Membership;                ///< See membership().
  std::set<std::pair<LogIndex, LogTerm>> m_NotCommitted; ///< Said never to be.
  /// By token: newest term and committed entry when it was asked for.
  std::map<std::uint64_t, std::pair<LogTerm, LogIndex>> m_Asked;
  std::uint64_t m_Confirmations = 0;    ///< See confirmations().
  std::optional<std::string> m_Failure; ///< See failure().
};

} // namespace ragwortmux

#endif // TESTS_LOG_LOGCHECKS_H
