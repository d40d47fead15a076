#include "ragwortmux/Version/GroupRotation.h"

#include "ragwortmux/Version/GroupTable.h"

#include <algorithm>

namespace ragwortmux {

namespace {

/// Number of groups that each tick evaluates at least.
constexpr std::size_t MinGroupsPerTick = 4;
/// Number of ticks within which each group is evaluated at least once.
constexpr std::size_t MaxTicks = 10;

} // namespace

std::vector<GroupId> GroupRotation::takeDue(const GroupTable &Groups) {
  std::vector<GroupId> All;
  Groups.forEachGroup(
      [&](const GroupRecord &Group) { All.push_back(Group.m_Group); });
  const std::size_t Share = (All.size() + MaxTicks - 1) / MaxTicks;
  const std::size_t Count =
      std::min(All.size(), std::max(MinGroupsPerTick, Share));
  const auto Next = std::upper_bound(All.begin(), All.end(), m_Last);
  std::rotate(All.begin(), Next, All.end());
  All.resize(Count);
  if (!All.empty())
    m_Last = All.back();
  return All;
}

} // namespace ragwortmux
