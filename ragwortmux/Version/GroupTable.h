#ifndef RAGWORTMUX_VERSION_GROUPTABLE_H
#define RAGWORTMUX_VERSION_GROUPTABLE_H

#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/GroupRecord.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace ragwortmux {

struct AppointPrimary;
struct EndTerm;
struct OrderPromotion;
struct RegisterServer;
struct SetInSync;
struct SetServerState;

/// The database groups: term, primary and in-sync set of each.
class GroupTable final {
public:
  /// Registers a server, or changes its address and limits. A server whose
  /// address has changed becomes Behind, unless it is the primary. In a full
  /// group the new server replaces one that is Behind and no longer announces
  /// itself; \p Evicted is set to the id of the replaced one.
  ControlResult registerServer(const RegisterServer &Command,
                               std::optional<ServerId> &Evicted);
  ControlResult setServerState(const SetServerState &Command);
  /// Ends the term. \p LastSession is the last session id that was assigned.
  ControlResult endTerm(const EndTerm &Command, ControlSessionId LastSession);
  ControlResult orderPromotion(const OrderPromotion &Command);
  ControlResult appointPrimary(const AppointPrimary &Command);
  ControlResult setInSync(const SetInSync &Command);
  /// Raises the revision of \p Group, because its shares change. The group must
  /// exist.
  Revision touch(const GroupId &Group);

  void importData(const std::vector<GroupRecord> &Groups);

  /// The group, or null.
  const GroupRecord *find(const GroupId &Group) const;
  /// The server, or null.
  const ServerRecord *findServer(const GroupId &Group,
                                 const ServerId &Server) const;
  /// Calls \p Visit for each group by id.
  void
  forEachGroup(const std::function<void(const GroupRecord &)> &Visit) const;

private:
  GroupRecord *findMutable(const GroupId &Group);
  static ControlResult refusedServer(const GroupId &Group,
                                     const ServerId &Server);

  std::map<GroupId, GroupRecord> m_Groups; ///< All groups.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_GROUPTABLE_H
