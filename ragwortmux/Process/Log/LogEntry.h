#ifndef RAGWORTMUX_PROCESS_LOG_LOGENTRY_H
#define RAGWORTMUX_PROCESS_LOG_LOGENTRY_H

#include "ragwortmux/Core/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// The records that the replicated log keeps.

namespace ragwortmux {

/// A position in the replicated log; the first entry has 1, 0 is before it.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// A term of the replicated log: at most one leader each. 0 is before the
/// first.
using LogTerm = StrongId<struct LogTermTag, std::uint64_t>;
/// The identity of one data folder: random, made with the folder, never used
/// for another one. A host that lost its disk comes back with a new one.
using VoterId = StrongId<struct VoterIdTag, std::string>;
/// Chosen by the user of the log to match an answer with its question.
using ConfirmationToken = StrongId<struct ConfirmationTokenTag, std::uint64_t>;

/// Names one entry: no two different entries ever share index and term.
struct EntryId final {
  LogIndex m_Index; ///< Position in the log.
  LogTerm m_Term;   ///< Term of the leader that made the entry.

  friend bool operator==(const EntryId &, const EntryId &) = default;
};

/// One member of the log's configuration.
struct LogMember final {
  VoterId m_Id;          ///< Identity of the member's data folder.
  std::string m_Address; ///< Opaque to the log; where to reach the member.
  bool m_Votes = false;  ///< False for a learner, which only receives entries.

  friend bool operator==(const LogMember &, const LogMember &) = default;
};

/// The configuration of the log: all voters and learners.
struct LogMembership final {
  std::vector<LogMember> m_Members; ///< In no special order, ids unique.

  /// The member \p Id, or null.
  const LogMember *find(const VoterId &Id) const {
    for (const LogMember &Member : m_Members)
      if (Member.m_Id == Id)
        return &Member;
    return nullptr;
  }

  /// True if \p Id is a member with a vote.
  bool votes(const VoterId &Id) const {
    const LogMember *Member = find(Id);
    return Member && Member->m_Votes;
  }

  friend bool operator==(const LogMembership &,
                         const LogMembership &) = default;
};

/// What an entry holds.
enum class LogEntryKind : std::uint8_t {
  NoOp = 0,       ///< Nothing: a new leader's first entry.
  Payload = 1,    ///< Bytes of the user of the log.
  Membership = 2, ///< A new configuration, in force once it is in the log.
};

/// One entry of the log.
struct LogEntry final {
  EntryId m_Id;                             ///< Position and term.
  LogEntryKind m_Kind = LogEntryKind::NoOp; ///< What it holds.
  std::string m_Payload;                    ///< For Payload: opaque bytes.
  LogMembership m_Membership;               ///< For Membership: all members.

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// What a voter must never forget: its term and its vote in that term.
struct LogHardState final {
  LogTerm m_Term;  ///< The highest term seen.
  VoterId m_Voted; ///< Who got the vote in that term; empty for nobody.

  friend bool operator==(const LogHardState &, const LogHardState &) = default;
};

/// The user's state after a certain entry, in place of all entries up to it.
struct LogSnapshot final {
  EntryId m_Last;             ///< Last entry that the state includes.
  LogMembership m_Membership; ///< Configuration as of that entry.
  std::string m_State;        ///< Opaque bytes of the user's state.

  friend bool operator==(const LogSnapshot &, const LogSnapshot &) = default;
};

/// All that a data folder holds, as read at start.
struct LogInitialState final {
  VoterId m_Self;                  ///< Identity of the data folder.
  LogHardState m_HardState;        ///< Term and vote.
  LogSnapshot m_Snapshot;          ///< Index 0 if there is none.
  EntryId m_Previous;              ///< The entry before the first of m_Entries.
  std::vector<LogEntry> m_Entries; ///< Contiguous; may begin before the
                                   ///< snapshot's last entry.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGENTRY_H
