#ifndef TESTS_LOG_LOGMEMBERHARNESS_H
#define TESTS_LOG_LOGMEMBERHARNESS_H

#include "ragwortmux/Process/Log/ReplicatedLog.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace ragwortmux::test {

inline const VoterId Self("a");
inline const VoterId Other("b");
inline const VoterId Third("c");
inline constexpr Instant Start{std::chrono::seconds(1)};
inline constexpr Duration LongSilence = std::chrono::seconds(1);

inline EntryId entryId(std::uint64_t Index, std::uint64_t Term) {
  return {LogIndex(Index), LogTerm(Term)};
}

/// Voter "a" of three, whose log has entries of the given terms.
class LogMemberHarness final {
public:
  explicit LogMemberHarness(const std::vector<std::uint64_t> &Terms,
                            const LogHardState &Hard = {},
                            ReplicatedLogSettings Settings = {})
      : m_Log(Start, withRandom(std::move(Settings)), state(Terms, Hard)) {}

  ReplicatedLog &log() { return m_Log; }
  Instant m_Now = Start; ///< Simulated time.

  /// Delivers a message from \p From.
  void receive(const VoterId &From, LogMessage Message) {
    m_Log.receive(m_Now, {From, Self, std::move(Message)});
  }

  /// Takes the pending actions without performing them.
  void collectActions() {
    for (LogAction &Action : m_Log.takeActions(m_Now)) {
      if (const auto *Persist = std::get_if<PersistLog>(&Action))
        m_UnconfirmedPersist = Persist->m_Sequence;
      m_TakenActions.push_back(std::move(Action));
    }
  }

  /// Takes actions and confirms each PersistLog until none is left.
  void persist() {
    collectActions();
    while (m_UnconfirmedPersist) {
      m_Log.persisted(m_Now,
                      *std::exchange(m_UnconfirmedPersist, std::nullopt));
      collectActions();
    }
  }

  /// Removes and returns all actions of a type that were taken so far.
  template <typename Type> std::vector<Type> removeActions() {
    std::vector<Type> Found;
    for (const LogAction &Action : m_TakenActions)
      if (const auto *Matching = std::get_if<Type>(&Action))
        Found.push_back(*Matching);
    std::erase_if(m_TakenActions, [](const LogAction &Action) {
      return std::holds_alternative<Type>(Action);
    });
    return Found;
  }

  /// Removes all messages that were taken so far; returns those of a type.
  template <typename Type> std::vector<Type> removeMessages() {
    std::vector<Type> Found;
    for (const SendMessage &Send : removeActions<SendMessage>())
      if (const auto *Matching = std::get_if<Type>(&Send.m_Envelope.m_Message))
        Found.push_back(*Matching);
    return Found;
  }

  /// Makes this member the leader of the next term, with the vote of "b".
  LogTerm becomeLeader() {
    m_Now += LongSilence;
    m_Log.tick(m_Now);
    receive(Other, VoteReply{LogTerm(m_Log.term().value() + 1), true, true});
    persist();
    receive(Other, VoteReply{m_Log.term(), false, true});
    persist();
    BOOST_REQUIRE(m_Log.role() == LogRole::Leader);
    removeActions<SendMessage>();
    return m_Log.term();
  }

  /// Delivers a reply from "b" that accepts entries up to \p Match.
  void acknowledge(std::uint64_t Match, std::uint64_t Round) {
    receive(Other,
            AppendReply{m_Log.term(), true, LogIndex(Match), {}, {}, Round});
    persist();
  }

  /// Terms of all entries of the log.
  std::vector<std::uint64_t> terms() const {
    std::vector<std::uint64_t> Terms;
    const LogIndex Last = m_Log.log().last().m_Index;
    for (std::uint64_t Index = 1; Index <= Last.value(); ++Index)
      Terms.push_back(m_Log.log().termAt(LogIndex(Index))->value());
    return Terms;
  }

private:
  static ReplicatedLogSettings withRandom(ReplicatedLogSettings Settings) {
    Settings.m_Random = [] { return std::uint64_t{0}; };
    return Settings;
  }

  static LogInitialState state(const std::vector<std::uint64_t> &Terms,
                               const LogHardState &Hard) {
    LogInitialState Initial;
    Initial.m_Self = Self;
    Initial.m_HardState = Hard;
    for (std::uint64_t Term : Terms) {
      LogEntry Entry;
      Entry.m_Id = entryId(Initial.m_Entries.size() + 1, Term);
      Initial.m_Entries.push_back(Entry);
    }
    if (Terms.empty())
      return Initial;
    Initial.m_HardState.m_Term = std::max(Hard.m_Term, LogTerm(Terms.back()));
    LogEntry &First = Initial.m_Entries.front();
    First.m_Kind = LogEntryKind::Membership;
    for (const VoterId &Voter : {Self, Other, Third})
      First.m_Membership.m_Members.push_back({Voter, "", true});
    return Initial;
  }

  ReplicatedLog m_Log;                   ///< The member.
  std::vector<LogAction> m_TakenActions; ///< Taken and not yet examined.
  /// Number of the PersistLog that is taken and not confirmed.
  std::optional<std::uint64_t> m_UnconfirmedPersist;
};

} // namespace ragwortmux::test

#endif // TESTS_LOG_LOGMEMBERHARNESS_H
