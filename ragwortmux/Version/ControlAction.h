#ifndef RAGWORTMUX_VERSION_CONTROLACTION_H
#define RAGWORTMUX_VERSION_CONTROLACTION_H

#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/ControlCommand.h"
#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/GroupView.h"
#include "ragwortmux/Version/SessionHomeLists.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The actions that the control leader returns to the process that runs it.

namespace ragwortmux {

/// Proposes a command to the log; its result is passed to
/// ControlLeader::applied.
struct Propose final {
  ControlCommand m_Command; ///< The command.
};

/// Starts a quorum round. ControlLeader::leadershipConfirmed is called with the
/// token once a majority has confirmed this leader.
struct ConfirmLeadership final {
  std::uint64_t m_Token = 0; ///< Number of the round; increases with each one.
};

/// Grants a lease renewal. A proxy applies the whole message or none of it, and
/// extends its lease only after the updates.
struct GrantRenewal final {
  ControlSessionId m_Session;   ///< To whom.
  std::uint64_t m_Sequence = 0; ///< Which renewal.
  Duration m_Length{0};         ///< The granted lease; 0: none, because the
                                ///< proxy's catalogue is outdated.
  std::optional<CatalogueDelta>
      m_Catalogue; ///< Changes after the proxy's revision; none if it is up to
                   ///< date.
  std::vector<GroupView>
      m_Groups; ///< Group records that the proxy has not confirmed.
  std::shared_ptr<const SessionHomeLists>
      m_Homes; ///< The session homes; null if the proxy has confirmed them.
};

/// Refuses a lease renewal because the session is not open.
struct RefuseRenewal final {
  ControlSessionId m_Session;   ///< To whom.
  std::uint64_t m_Sequence = 0; ///< Which renewal.
};

/// Pushes a group's record to a proxy, which confirms it to
/// ControlLeader::updateConfirmed.
struct PushGroupView final {
  ControlSessionId m_Session; ///< To whom.
  GroupView m_View;           ///< The record.
};

/// Pushes catalogue changes to a proxy.
struct PushCatalogue final {
  ControlSessionId m_Session; ///< To whom.
  CatalogueDelta m_Delta;     ///< Changes after the proxy's revision.
};

/// Pushes the session homes to a proxy, which confirms them to
/// ControlLeader::homesConfirmed.
struct PushSessionHomes final {
  ControlSessionId m_Session;                      ///< To whom.
  std::shared_ptr<const SessionHomeLists> m_Homes; ///< The homes, not null.
};

/// Calls a backend server; the outcome is passed to
/// ControlLeader::backendCallCompleted.
struct CallBackend final {
  std::uint64_t m_Call = 0; ///< Id of the call, unique within this process.
  GroupId m_Group;          ///< The server's group.
  ServerId m_Server;        ///< The server.
  std::string m_Address;    ///< Its IP address.
  std::uint16_t m_Port = 0; ///< Its TCP port.
  BackendCallKind m_Kind = BackendCallKind::Position; ///< Which call.
  Term m_Term;                      ///< Fence, Promote, Follow: the term.
  std::string m_PrimaryAddress;     ///< Follow: the primary's IP address.
  std::uint16_t m_PrimaryPort = 0;  ///< Follow: the primary's TCP port.
  Duration m_Timeout{0};            ///< The call fails after this time.
  std::uint64_t m_FencingToken = 0; ///< Promote: fencing token, which increases
                                    ///< with each change of leader.
  Instant m_ValidUntil; ///< Promote: until then no other leader can act; the
                        ///< call must not be sent later.
};

/// Writes one line to the time line of events.
struct WriteTimelineLine final {
  std::string m_Text; ///< The line.
};

/// Any action of the control leader.
using ControlAction =
    std::variant<Propose, ConfirmLeadership, GrantRenewal, RefuseRenewal,
                 PushGroupView, PushCatalogue, PushSessionHomes, CallBackend,
                 WriteTimelineLine>;

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CONTROLACTION_H
