#ifndef RAGWORTMUX_VERSION_DESCRIBECOMMAND_H
#define RAGWORTMUX_VERSION_DESCRIBECOMMAND_H

#include "ragwortmux/Version/ControlCommand.h"

#include <string>

namespace ragwortmux {

/// A short sentence for the time line about \p Command, which has been applied;
/// empty for commands that are too many to be listed there.
std::string describeCommand(const ControlCommand &Command);

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_DESCRIBECOMMAND_H
