#ifndef RAGWORTMUX_PROCESS_BACKEND_STATEMENTCONNECTION_H
#define RAGWORTMUX_PROCESS_BACKEND_STATEMENTCONNECTION_H

#include "ragwortmux/Request/SessionEvents.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortmux {

/// The server to which a statement connection is opened.
struct StatementEndpoint final {
  GroupId m_Group;          ///< Expected group of the server.
  WorkspaceId m_Workspace;  ///< Workspace to connect for; empty: none.
  ServerId m_Server;        ///< Expected id of the server.
  std::string m_Address;    ///< IP address.
  std::uint16_t m_Port = 0; ///< TCP port.
};

/// Callbacks of a statement connection, called on the event loop and never from
/// within a call to the connection.
struct StatementConnectionHooks final {
  std::function<void()> m_Opened; ///< Ready for statements.
  /// Could not be opened; \p ServerAnswered is true if the server refused it.
  std::function<void(bool ServerAnswered, const std::string &Reason)> m_Failed;
  std::function<void(const std::string &Reason)>
      m_Lost; ///< Lost after it was open.
  std::function<void(const StatementReply &)> m_Answered; ///< Reply to setUp(),
                                                          ///< run() or probe().
};

/// A connection to a backend server of a delegated group. Its destruction
/// closes it, also while a statement is running, and no further hooks are
/// called.
class StatementConnection {
public:
  StatementConnection() = default;
  virtual ~StatementConnection() = default;
  StatementConnection(const StatementConnection &) = delete;
  StatementConnection &operator=(const StatementConnection &) = delete;

  /// Runs the steps of a session set-up; m_Answered is called once, after all
  /// of them.
  virtual void setUp(const std::vector<SessionStep> &Steps) = 0;
  /// Runs a statement; at most one, or one set-up, at a time.
  virtual void run(const RunStatement &Run) = 0;
  /// Resets the state of the connection at the server without occupying a
  /// slot.
  virtual void probe() = 0;
};

/// Opens a connection to the server \p Endpoint.
using OpenStatementConnection =
    std::function<std::unique_ptr<StatementConnection>(
        const StatementEndpoint &Endpoint, StatementConnectionHooks Hooks)>;

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_STATEMENTCONNECTION_H
