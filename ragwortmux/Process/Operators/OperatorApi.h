#ifndef RAGWORTMUX_PROCESS_OPERATORS_OPERATORAPI_H
#define RAGWORTMUX_PROCESS_OPERATORS_OPERATORAPI_H

#include "ragwortmux/Process/Operators/HttpEndpoint.h"
#include "ragwortmux/Process/Support/WorkspaceJson.h"
#include "ragwortmux/Version/ControlCommand.h"

#include <functional>
#include <string>

namespace ragwortmux {

class EntryRole;
class Metrics;
class Secret;

/// Callbacks of the HTTP interface into the process.
struct OperatorApiHooks final {
  /// True while the process accepts callers.
  std::function<bool()> m_Ready;
  /// Starts a graceful shutdown.
  std::function<void()> m_Drain;
  /// The process's own state as a JSON object.
  std::function<std::string()> m_LocalStatus;
};

/// Answers HTTP requests of the platform, of backend servers and of operators.
///
/// Paths: `/healthz`, `/readyz`, `/metrics`, `/v1/announce`; with the
/// operator's token `/v1/status`, `/v1/drain`, `/v1/catalogue`,
/// `/v1/catalogue/NAME`, `/v1/catalogue/NAME/history`, `/v1/workspaces`,
/// `/v1/workspaces/NAME`. Workspaces are changed by digests of keys; no request
/// and no answer contains a key, and answers have the first digits of digests.
class OperatorApi final {
public:
  /// \p Entry is null in a process without the entry role.
  OperatorApi(const Secret &Token, const Metrics &ProcessMetrics,
              EntryRole *Entry, OperatorApiHooks Hooks);

  /// Answers \p Request.
  kj::Promise<HttpReply> handle(const HttpRequest &Request);

private:
  HttpReply announce(const HttpRequest &Request);
  kj::Promise<HttpReply> handleOperator(const HttpRequest &Request);
  kj::Promise<HttpReply> handleCatalogue(const HttpRequest &Request);
  kj::Promise<HttpReply> handleWorkspaces(const HttpRequest &Request);
  kj::Promise<HttpReply> changeWorkspace(const HttpRequest &Request,
                                         WorkspaceAction Action,
                                         const std::string &Name);
  kj::Promise<HttpReply> editWorkspace(const WorkspaceEdit &Edit,
                                       PutWorkspace Command);
  kj::Promise<HttpReply> sendWorkspaceChange(const ControlCommand &Command);
  kj::Promise<HttpReply> query(const std::string &QueryKind,
                               const std::string &Name);
  kj::Promise<HttpReply> changeEntry(const HttpRequest &Request,
                                     const std::string &Name);

  const Secret &m_Token;    ///< The operators' token.
  const Metrics &m_Metrics; ///< The process's metrics.
  EntryRole *m_Entry;       ///< The entry role; may be null.
  OperatorApiHooks m_Hooks; ///< Callbacks into the process.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_OPERATORAPI_H
