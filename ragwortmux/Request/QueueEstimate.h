#ifndef RAGWORTMUX_REQUEST_QUEUEESTIMATE_H
#define RAGWORTMUX_REQUEST_QUEUEESTIMATE_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Request/FairQueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace ragwortmux {

/// Settings of a QueueEstimate.
struct QueueEstimateSettings final {
  std::uint32_t m_MinSamples = 16; ///< Fewest observations that an estimate may
                                   ///< rest on.
  Duration m_Window = std::chrono::milliseconds(
      500); ///< Shortest time over which the rate of a lane that has a backlog
            ///< is measured. Servers stall for up to a few 100 ms when a
            ///< primary changes; a shorter window takes that for their rate.
  Duration m_MaxAge = std::chrono::seconds(
      4); ///< Age at which a measured rate and service times are dropped.
  std::uint32_t m_ShortQueue =
      2; ///< Statements ahead for each slot up to which none is refused.
  std::uint32_t m_MarginPercent =
      25; ///< By how much a rate is taken to be higher than measured.
};

/// Place of a statement in the queue and what serves it.
struct QueuePlace final {
  QueueLane m_Lane = QueueLane::Read; ///< Servers that it can run on.
  std::size_t m_Ahead = 0;            ///< Fewest statements that go before it.
  std::uint32_t m_Slots = 0; ///< Most statements of this host that those
                             ///< servers can run at once.
  Instant m_Deadline;        ///< Latest time for its answer.
};

/// Estimates whether a queued statement can still be served before its
/// deadline. Every input is taken from its favourable side, because a refused
/// statement is lost for its caller while a waiting one may still be served.
///
/// The rate at which a lane gets on is measured while it has a backlog. It then
/// contains what other hosts take of the servers' slots, refusals for lack of a
/// free slot, and connections that are held by idle transactions. Until there
/// is a measured rate, it follows from the slots and the time for which
/// statements and whole transactions occupy a connection.
class QueueEstimate final {
public:
  explicit QueueEstimate(const QueueEstimateSettings &Settings)
      : m_Settings(Settings) {}

  /// A statement of \p Lane has left the queue and occupies \p Connection.
  void occupied(Instant Now, ConnectionId Connection, QueueLane Lane);
  /// The connection is free for another statement; what occupied it has run.
  void served(Instant Now, ConnectionId Connection);
  /// What occupied the connection has not run, or nobody knows.
  void dropped(ConnectionId Connection) { m_Occupied.erase(Connection); }
  /// Reports after each event whether statements of \p Lane wait.
  void setBacklog(Instant Now, QueueLane Lane, bool IsWaiting);

  /// False only if the statement cannot be served in time.
  bool canServe(Instant Now, const QueuePlace &Place) const;

private:
  struct Occupation final {
    Instant m_Since;                    ///< When the statement was sent.
    QueueLane m_Lane = QueueLane::Read; ///< Lane that it came from.
  };
  struct Lane final {
    Duration m_Total{0};                  ///< Sum of the times of occupation.
    std::uint32_t m_Samples = 0;          ///< Number of them.
    Instant m_LastSample;                 ///< Time of the last one.
    std::optional<Instant> m_WindowStart; ///< Since when it has a backlog, or
                                          ///< start of the next window.
    std::uint32_t m_Served = 0;           ///< Served since then.
    std::optional<Duration>
        m_Interval;       ///< Measured time from one served to the next.
    Instant m_MeasuredAt; ///< When it was measured.
  };
  /// Number of samples at which sum and number are halved, so that older ones
  /// count less and less.
  static constexpr std::uint32_t MaxSamples = 128;

  Lane &lane(QueueLane Which) {
    return m_Lanes.at(static_cast<std::size_t>(Which));
  }
  std::optional<Duration> occupation(Instant Now, const Lane &Of) const;
  std::optional<Duration> interval(Instant Now, const Lane &Of,
                                   std::uint32_t Slots) const;

  QueueEstimateSettings m_Settings;              ///< Settings.
  std::array<Lane, QueueLaneCount> m_Lanes;      ///< Observations by lane.
  std::map<ConnectionId, Occupation> m_Occupied; ///< Connections in use.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_REQUEST_QUEUEESTIMATE_H
