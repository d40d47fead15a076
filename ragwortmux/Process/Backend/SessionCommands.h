#ifndef RAGWORTMUX_PROCESS_BACKEND_SESSIONCOMMANDS_H
#define RAGWORTMUX_PROCESS_BACKEND_SESSIONCOMMANDS_H

#include <string_view>

namespace ragwortmux {

/// True if a command that the server completed with \p CommandTag leaves state
/// on the session that outlives its transaction, such as a setting or a
/// prepared statement. \p Sql is the whole message that the command is part of;
/// `SET LOCAL` and `SET TRANSACTION` have the same tag as `SET` and are told
/// apart by it only if they are its only command.
bool changesSession(std::string_view CommandTag, std::string_view Sql);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_BACKEND_SESSIONCOMMANDS_H
