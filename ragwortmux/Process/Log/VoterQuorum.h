#ifndef RAGWORTMUX_PROCESS_LOG_VOTERQUORUM_H
#define RAGWORTMUX_PROCESS_LOG_VOTERQUORUM_H

#include "ragwortmux/Process/Log/LogEntry.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace ragwortmux {

/// Decides how many voters of a configuration form a quorum.
///
/// A quorum is a majority of the voters. A voter whose data folder is known to
/// be lost for good counts as replaced: it cannot vote any more, so it cannot
/// belong to another quorum. Of an even number of voters with a replaced one,
/// half of all voters are then a quorum, if none of them is replaced. With 2n
/// voters, of which r are replaced, a majority has at least n + 1 - r of the
/// 2n - r others, so it intersects n of these, and so do any two sets of n.
class VoterQuorum final {
public:
  /// Sets the members whose data folders are lost for good.
  void setReplaced(std::set<VoterId> Replaced) {
    m_Replaced = std::move(Replaced);
  }

  /// True if \p Member is a voter that can belong to a quorum.
  bool counts(const LogMember &Member) const {
    return Member.m_IsVoter && !m_Replaced.contains(Member.m_Id);
  }

  /// Number of voters of \p Members, none of them replaced, that form a quorum.
  std::size_t size(const LogMembership &Members) const {
    std::size_t Voters = 0;
    std::size_t Counted = 0;
    for (const LogMember &Member : Members.m_Members) {
      Voters += Member.m_IsVoter ? 1 : 0;
      Counted += counts(Member) ? 1 : 0;
    }
    const bool HasReplaced = Counted < Voters;
    return HasReplaced && Voters % 2 == 0 ? Voters / 2 : Voters / 2 + 1;
  }

  /// The highest value that a quorum of \p Members reaches, where \p ValueOf
  /// returns the value of one voter; a default value if no quorum is left.
  template <typename Value, typename Function>
  Value highestReached(const LogMembership &Members,
                       const Function &ValueOf) const {
    std::vector<Value> Values;
    for (const LogMember &Member : Members.m_Members)
      if (counts(Member))
        Values.push_back(ValueOf(Member.m_Id));
    const std::size_t Needed = size(Members);
    if (Values.size() < Needed)
      return Value();
    std::sort(Values.begin(), Values.end(), std::greater<>());
    return Values[Needed - 1];
  }

private:
  std::set<VoterId> m_Replaced; ///< See setReplaced().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_VOTERQUORUM_H
