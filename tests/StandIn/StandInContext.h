#ifndef TESTS_STANDIN_STANDINCONTEXT_H
#define TESTS_STANDIN_STANDINCONTEXT_H

#include "tests/StandIn/StandInFaults.h"
#include "tests/StandIn/StandInSettings.h"
#include "tests/StandIn/StandInStats.h"
#include "tests/StandIn/StandInStore.h"

namespace ragwortmux::standin {

/// State of one server that all of its sessions share.
struct StandInContext final {
  StandInContext() = default;
  StandInContext(const StandInContext &) = delete;
  StandInContext &operator=(const StandInContext &) = delete;
  StandInSettings m_Settings; ///< Limits and names.
  StandInStore m_Store;       ///< Rows and log.
  StandInFaults m_Faults;     ///< Faults to inject.
  StandInStats m_Stats;       ///< Counters.
  /// Makes the server a replica of the primary of a term at an address and
  /// port; false if the store refuses the term.
  std::function<bool(Term, const std::string &, std::uint16_t)> m_Follow =
      [this](Term NewTerm, const std::string &Address, std::uint16_t Port) {
        return m_Store.follow(NewTerm, Address + ":" + std::to_string(Port));
      };
  /// Stops the replication from a primary.
  std::function<void()> m_StopFollowing = [] {};
  /// Ends the session that runs the attempt of the given id, if there is one.
  std::function<void(const std::string &)> m_EndSession =
      [](const std::string &) {};
};

} // namespace ragwortmux::standin

#endif // TESTS_STANDIN_STANDINCONTEXT_H
