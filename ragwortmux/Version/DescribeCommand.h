#ifndef RAGWORTMUX_VERSION_DESCRIBECOMMAND_H
#define RAGWORTMUX_VERSION_DESCRIBECOMMAND_H

#include "ragwortmux/Version/ControlCommand.h"

#include <string>

namespace ragwortmux {

/// Returns a short sentence for the time line about the applied \p Command;
/// empty for commands that are too frequent for it.
std::string describeCommand(const ControlCommand &Command);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_DESCRIBECOMMAND_H
