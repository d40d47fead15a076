#include "ragwortmux/Process/SessionPoints.h"

#include "ragwortmux/Process/IoLoop.h"
#include "ragwortmux/Process/PeerLink.h"

#include <utility>

namespace ragwortmux {

SessionPoints::SessionPoints(IoLoop &Loop, const Secret &ClusterKey,
                             HostId Self)
    : m_Loop(Loop), m_Key(ClusterKey), m_Self(std::move(Self)) {}

SessionPoints::~SessionPoints() = default;

void SessionPoints::setHomes(const SessionHomesView &Homes) {
  if (Homes.m_Revision > m_Homes.m_Revision) {
    m_Homes = Homes;
  }
}

void SessionPoints::store(const SessionName &, const GroupId &,
                          const LogPoint &, std::function<void(bool)> Reply) {
  Reply(false);
}

void SessionPoints::find(const SessionName &, const GroupId &,
                         std::function<void(SessionPointReply)> Reply) {
  Reply({});
}

bool SessionPoints::storeHere(const SessionPointKey &, const LogPoint &) {
  return false;
}

SessionPointReply SessionPoints::findHere(const SessionPointKey &) {
  return {};
}

} // namespace ragwortmux
