#ifndef RAGWORTMUX_PROCESS_OPERATORS_OPERATORCLIENT_H
#define RAGWORTMUX_PROCESS_OPERATORS_OPERATORCLIENT_H

#include "ragwortmux/Process/Support/Commands.h"

#include <string>

namespace ragwortmux {

class Secret;

/// Runs the operators' commands: calls an entry host over HTTP and prints its
/// answer, to standard error if the call failed. The functions return the exit
/// status: 0 if the call succeeded, 1 if not.
class OperatorClient final {
public:
  explicit OperatorClient(const Secret &Token) : m_Token(Token) {}

  int run(const CatalogueCommand &Command) const;
  /// The keys of \p Command have been read into its edit.
  int run(const WorkspaceCommand &Command) const;
  int run(const StatusCommand &Command) const;
  int run(const DrainCommand &Command) const;

private:
  int call(const SocketAddress &At, const std::string &Method,
           const std::string &Path, const std::string &Body) const;

  const Secret &m_Token; ///< The operators' token.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_OPERATORCLIENT_H
