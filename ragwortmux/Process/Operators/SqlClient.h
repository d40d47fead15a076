#ifndef RAGWORTMUX_PROCESS_OPERATORS_SQLCLIENT_H
#define RAGWORTMUX_PROCESS_OPERATORS_SQLCLIENT_H

namespace ragwortmux {

struct SqlCommand;

/// Runs one SQL text as a caller and prints the rows with the columns separated
/// by tabs, then `token TOKEN` on standard error if the proxy sent a token.
/// Returns the exit status: 0 on success, 1 on an error.
int runSql(const SqlCommand &Command);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_OPERATORS_SQLCLIENT_H
