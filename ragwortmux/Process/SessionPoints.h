#ifndef RAGWORTMUX_PROCESS_SESSIONPOINTS_H
#define RAGWORTMUX_PROCESS_SESSIONPOINTS_H

#include "ragwortmux/Process/ControlMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ragwortmux {

class IoLoop;
class PeerLink;
class Secret;

/// Keeps the positions of callers' sessions at their home hosts, for callers
/// that carry a session name only. Every entry process asks and serves.
class SessionPoints final {
public:
  SessionPoints(IoLoop &Loop, const Secret &ClusterKey, HostId Self);
  ~SessionPoints();
  SessionPoints(const SessionPoints &) = delete;
  SessionPoints &operator=(const SessionPoints &) = delete;

  /// The homes as control states them.
  void setHomes(const SessionHomesView &Homes);
  /// The homes' revision that this process acts on.
  Revision homesRevision() const { return m_Homes.m_Revision; }

  ///@name For this process's own callers
  /// Stores a position; \p Reply gets true once one home of those in force has
  /// it.
  void store(const SessionName &Session, const GroupId &Group,
             const LogPoint &Point, std::function<void(bool)> Reply);
  /// Looks a position up; known only if every home answered and knows it.
  void find(const SessionName &Session, const GroupId &Group,
            std::function<void(SessionPointReply)> Reply);

  ///@name For other processes
  bool storeHere(const SessionPointKey &Key, const LogPoint &Point);
  SessionPointReply findHere(const SessionPointKey &Key);

private:
  IoLoop &m_Loop;                                      ///< The event loop.
  const Secret &m_Key;                                 ///< The cluster key.
  HostId m_Self;                                       ///< This host.
  SessionHomesView m_Homes;                            ///< The homes in force.
  std::map<HostId, std::shared_ptr<PeerLink>> m_Links; ///< Other homes.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SESSIONPOINTS_H
