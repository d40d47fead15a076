#ifndef TESTS_STANDIN_STANDINCONTEXT_H
#define TESTS_STANDIN_STANDINCONTEXT_H

#include "tests/StandIn/StandInFaults.h"
#include "tests/StandIn/StandInSettings.h"
#include "tests/StandIn/StandInStats.h"
#include "tests/StandIn/StandInStore.h"

namespace ragwortmux::standin {

/// What all sessions of one server share.
struct StandInContext final {
  StandInSettings m_Settings; ///< Limits and names.
  StandInStore m_Store;       ///< Rows and log.
  StandInFaults m_Faults;     ///< Fault switches.
  StandInStats m_Stats;       ///< Counters.
  /// Starts to replicate from a primary's address and port.
  std::function<void(Term, const std::string &, std::uint16_t)> m_Follow =
      [](Term, const std::string &, std::uint16_t) {};
  /// Ends the replication from a primary.
  std::function<void()> m_StopFollowing = [] {};
  /// Ends the session that holds an attempt, if there is one.
  std::function<void(const std::string &)> m_EndSession =
      [](const std::string &) {};
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINCONTEXT_H
