#ifndef RAGWORTMUX_VERSION_GROUPROTATION_H
#define RAGWORTMUX_VERSION_GROUPROTATION_H

#include "ragwortmux/Core/Ids.h"

#include <vector>

namespace ragwortmux {

class GroupTable;

/// Spreads the evaluation of all groups over several ticks of the leader.
///
/// Load pattern: many groups, each with many participants. If each tick
/// evaluated all groups, the ticks would take most of the leader's processor
/// time, and the rest would not suffice when many hosts open their sessions at
/// once.
class GroupRotation final {
public:
  /// Starts again with the first group.
  void reset() { m_Last = GroupId(); }
  /// The groups of \p Groups that the next tick evaluates, in the order of
  /// their ids and after the last one in turn. Each group comes at least once
  /// in MaxTicks calls, and a few groups come in each call.
  std::vector<GroupId> takeDue(const GroupTable &Groups);

private:
  GroupId m_Last; ///< The last group that was returned.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPROTATION_H
