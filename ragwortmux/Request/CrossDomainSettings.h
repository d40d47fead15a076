#ifndef RAGWORTMUX_REQUEST_CROSSDOMAINSETTINGS_H
#define RAGWORTMUX_REQUEST_CROSSDOMAINSETTINGS_H

#include "ragwortmux/Core/Time.h"

#include <cstdint>

namespace ragwortmux {

/// Limits and weights of CrossDomainPolicy. The bounds hold for each group on
/// each host.
struct CrossDomainSettings final {
  bool m_IsEnabled = false; ///< False: chooseReadTarget() decides alone.
  std::uint32_t m_UsPerKb =
      1000; ///< Microseconds of a caller's waiting time that a kilobyte between
            ///< failure domains is worth. 1 KB takes 4 ms of a 2 Mbit/s link.
  std::uint32_t m_MaxSharePercent =
      50; ///< Maximum share of the reads that leave the failure domain.
  std::uint32_t m_MaxKbPerSecond =
      64; ///< Maximum kilobytes per second of these reads; 0: no limit.
  std::uint32_t m_RoomPercent =
      40; ///< Maximum share of a foreign server's slots that this host takes;
          ///< at least one slot.
  Duration m_Memory =
      std::chrono::seconds(1); ///< Memory of the recent observations.
  double m_ShareStep = 0.1;    ///< Largest change of the share at a time.
  Duration m_StepInterval =
      std::chrono::milliseconds(200); ///< Time from one change of the share to
                                      ///< the next.
  Duration m_LeaveMargin = std::chrono::milliseconds(
      1); ///< A read must save this much more than its bytes cost while all
          ///< reads are at home, so that the decision does not flap.
  Duration m_ReturnAfter =
      std::chrono::seconds(1); ///< How long no read must have had a reason to
                               ///< leave before the share is reduced.
  Duration m_GrowthPause = std::chrono::milliseconds(
      500); ///< How long the share does not grow after a foreign server had no
            ///< room; doubles each time.
  Duration m_GrowthPauseMax =
      std::chrono::seconds(4); ///< Upper limit of that pause.
  Duration m_StalledAfter = std::chrono::milliseconds(
      250); ///< A server that has been silent for this long with statements
            ///< under way does not count as one that serves.
  Duration m_OpenTime =
      std::chrono::milliseconds(12); ///< Time to open a connection.
  Duration m_RefusalPause =
      std::chrono::milliseconds(8); ///< Pause after a server had no free slot.
  Duration m_DefaultResponse = std::chrono::milliseconds(
      5); ///< Response time of a server without observations.
  Duration m_DefaultCrossing = std::chrono::milliseconds(
      4); ///< Additional time of a foreign server without observations.
  Duration m_PrimaryPenalty =
      std::chrono::milliseconds(2); ///< Added to the primary's expected time,
                                    ///< because writes need its slots.
  Duration m_RecheckInterval = std::chrono::milliseconds(
      10);                  ///< How often waiting reads are decided on again.
  std::uint64_t m_Seed = 1; ///< Seed of the choice among foreign servers;
                            ///< should differ between hosts.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_CROSSDOMAINSETTINGS_H
