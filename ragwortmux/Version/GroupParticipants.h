#ifndef RAGWORTMUX_VERSION_GROUPPARTICIPANTS_H
#define RAGWORTMUX_VERSION_GROUPPARTICIPANTS_H

#include "ragwortmux/Core/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ragwortmux {

class LeaderContext;
struct LeaseRenewal;

/// The sessions that take part in each group: those that serve it according to
/// their last renewal, and those that hold a share record of it.
///
/// The end of a term has to wait for the participants only. A session may open
/// a connection to a server only within a share that a record of the group has
/// given to it, and without a connection it acknowledges nothing there. A
/// session whose first share is committed after the end of a term learns of
/// that share from a record that contains the end too. Records, even those of
/// a share of 0, are kept until the session ends, so that a session that has
/// stopped serving a group is still waited for.
class GroupParticipants final {
public:
  explicit GroupParticipants(const LeaderContext &Context)
      : m_Context(Context) {}

  /// Discards what sessions have reported, which a new leader has to collect
  /// anew. Until a session's first renewal its share records decide.
  void reset();
  void sessionEnded(ControlSessionId Session);
  /// Records which groups the session serves.
  void renewalReceived(const LeaseRenewal &Renewal);

  /// True if \p Session has renewed its lease at this leader.
  bool hasRenewed(ControlSessionId Session) const {
    return m_Served.contains(Session);
  }
  /// True if \p Session serves \p Group.
  bool serves(ControlSessionId Session, const GroupId &Group) const;
  /// True if \p Session takes part in \p Group.
  bool contains(ControlSessionId Session, const GroupId &Group) const;
  /// The sessions that take part in \p Group, in ascending order.
  std::vector<ControlSessionId> participants(const GroupId &Group) const;

private:
  /// The groups that a session serves; none: all groups.
  using ServedGroups = std::optional<std::set<GroupId>>;

  static bool includes(const ServedGroups &Served, const GroupId &Group) {
    return !Served || Served->contains(Group);
  }

  /// Removes \p Session from m_SessionsByGroup and m_ServingAll.
  void removeFromIndex(ControlSessionId Session, const ServedGroups &Served);

  const LeaderContext &m_Context; ///< Shared.
  std::map<ControlSessionId, ServedGroups>
      m_Served; ///< Of each session that has renewed its lease.
  std::map<GroupId, std::set<ControlSessionId>>
      m_SessionsByGroup; ///< The sessions that name a group as served.
  std::set<ControlSessionId>
      m_ServingAll; ///< The sessions that serve all groups.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPPARTICIPANTS_H
