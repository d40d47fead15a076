#ifndef TESTS_PROCESS_CALLERCALLS_H
#define TESTS_PROCESS_CALLERCALLS_H

#include "tests/StandIn/PgClient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace ragwortmux {

/// Connection settings of a caller, by name without the prefix `ragwortmux.`.
using CallerSettings = std::map<std::string, std::string>;

/// Formats \p Settings as the start-up parameter `options`.
std::string callerOptions(const CallerSettings &Settings);

/// Connects, runs one query message and closes the connection. If the
/// connection is refused, the answer is not ok and carries the SQLSTATE and
/// message of the refusal.
PgAnswer runOnce(std::uint16_t Port, const std::string &Entry,
                 const std::string &Sql, const CallerSettings &Settings = {});

/// Generates a request key whose timestamp lies \p Age in the past.
std::string generateRequestKey(std::chrono::hours Age = std::chrono::hours(0));

} // namespace ragwortmux

#endif // TESTS_PROCESS_CALLERCALLS_H
