#ifndef TESTS_PROCESS_CALLERCALLS_H
#define TESTS_PROCESS_CALLERCALLS_H

#include "tests/StandIn/PgClient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace ragwortmux {

/// Settings of a caller without the prefix `ragwortmux.`.
using CallerSettings = std::map<std::string, std::string>;

/// The start-up `options` text for \p Settings.
std::string callerOptions(const CallerSettings &Settings);

/// Connects, runs one message and closes. A refused connection is an answer
/// that is not ok.
PgAnswer runOnce(std::uint16_t Port, const std::string &Entry,
                 const std::string &Sql, const CallerSettings &Settings = {});

/// A fresh request key; \p Age makes one of that long ago.
std::string makeKey(std::chrono::hours Age = std::chrono::hours(0));

} // namespace ragwortmux

#endif // TESTS_PROCESS_CALLERCALLS_H
