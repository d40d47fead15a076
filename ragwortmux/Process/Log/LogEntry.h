#ifndef RAGWORTMUX_PROCESS_LOG_LOGENTRY_H
#define RAGWORTMUX_PROCESS_LOG_LOGENTRY_H

#include "ragwortmux/Core/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Data types of the replicated log.

namespace ragwortmux {

/// Position of an entry in the replicated log. The first entry has index 1; 0
/// stands for the position before it.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// A term of the replicated log, with at most one leader. 0 stands for the time
/// before the first term.
using LogTerm = StrongId<struct LogTermTag, std::uint64_t>;
/// Identity of one data folder: random, created together with the folder and
/// never reused. A host that has lost its disk returns with a new voter id.
using VoterId = StrongId<struct VoterIdTag, std::string>;
/// Chosen by the user of the log to match a confirmation with its request.
using ConfirmationToken = StrongId<struct ConfirmationTokenTag, std::uint64_t>;

/// Identifies one entry: different entries never have the same index and term.
struct EntryId final {
  LogIndex m_Index; ///< Position in the log.
  LogTerm m_Term;   ///< Term of the leader that created the entry.

  friend bool operator==(const EntryId &, const EntryId &) = default;
};

/// One member of the log's configuration.
struct LogMember final {
  VoterId m_Id;           ///< Identity of the member's data folder.
  std::string m_Address;  ///< Network address; opaque to the log.
  bool m_IsVoter = false; ///< False: a learner, which only receives entries.

  friend bool operator==(const LogMember &, const LogMember &) = default;
};

/// Configuration of the log: its voters and learners.
struct LogMembership final {
  std::vector<LogMember> m_Members; ///< In no particular order; ids are unique.

  /// The member \p Id, or null.
  const LogMember *find(const VoterId &Id) const {
    for (const LogMember &Member : m_Members)
      if (Member.m_Id == Id)
        return &Member;
    return nullptr;
  }

  /// True if \p Id is a voter.
  bool isVoter(const VoterId &Id) const {
    const LogMember *Member = find(Id);
    return Member && Member->m_IsVoter;
  }

  friend bool operator==(const LogMembership &,
                         const LogMembership &) = default;
};

/// Content of an entry.
enum class LogEntryKind : std::uint8_t {
  NoOp = 0,       ///< Empty: the first entry of a new leader.
  Payload = 1,    ///< Data of the user of the log.
  Membership = 2, ///< A new configuration, in force once appended.
};

/// One entry of the log.
struct LogEntry final {
  EntryId m_Id;                             ///< Position and term.
  LogEntryKind m_Kind = LogEntryKind::NoOp; ///< Content of the entry.
  std::string m_Payload;                    ///< Payload: opaque bytes.
  LogMembership m_Membership;               ///< Membership: the configuration.

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// State that a voter must store durably: its term and its vote in that term.
struct LogHardState final {
  LogTerm m_Term;     ///< The highest term seen.
  VoterId m_VotedFor; ///< Receiver of the vote in that term; empty: none.

  friend bool operator==(const LogHardState &, const LogHardState &) = default;
};

/// The user's state after an entry; replaces all entries up to that one.
struct LogSnapshot final {
  EntryId m_Last;             ///< Last entry that the state includes.
  LogMembership m_Membership; ///< Configuration as of that entry.
  std::string m_State;        ///< Opaque bytes of the user's state.

  friend bool operator==(const LogSnapshot &, const LogSnapshot &) = default;
};

/// Content of a data folder, as loaded at start.
struct LogInitialState final {
  VoterId m_Self;                  ///< Identity of the data folder.
  LogHardState m_HardState;        ///< Term and vote.
  LogSnapshot m_Snapshot;          ///< Index 0 if there is none.
  EntryId m_Previous;              ///< The entry before the first of m_Entries.
  std::vector<LogEntry> m_Entries; ///< Contiguous; may start before the
                                   ///< last entry of the snapshot.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGENTRY_H
