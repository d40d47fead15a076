#ifndef RAGWORTMUX_VERSION_SERVERMONITOR_H
#define RAGWORTMUX_VERSION_SERVERMONITOR_H

#include "ragwortmux/Core/Time.h"
#include "ragwortmux/Version/BackendCalls.h"
#include "ragwortmux/Version/ControlEvents.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace ragwortmux {

class GroupParticipants;
class LeaderContext;
struct GroupRecord;

/// Monitors the backend servers: what this leader has observed of them since it
/// took over, and the failures that follow from it.
class ServerMonitor final {
public:
  /// A proxy's latest report about a server.
  struct Report final {
    Instant m_At{};                               ///< When it arrived.
    SuspicionKind m_Kind = SuspicionKind::Silent; ///< The cause of the report.
  };

  /// The observed state of one server.
  struct ServerStatus final {
    Instant m_LastContactAt{}; ///< Last announcement or answered call.
    std::optional<Instant>
        m_LastAnnouncementAt; ///< None until the first announcement.
    bool m_HasPoint = false;  ///< True if m_Point and m_Role are valid.
    LogPoint m_Point;         ///< Latest accepted term and position.
    std::optional<Instant> m_LowerPointSince;  ///< Since when it has reported a
                                               ///< lower point than m_Point.
    BackendRole m_Role = BackendRole::Replica; ///< Latest reported role.
    Instant m_AdvancedAt{};                    ///< When m_Point last increased.
    bool m_IsLeaving =
        false; ///< According to its last announcement, it is leaving.
    bool m_HasEnded =
        false; ///< According to its last announcement, it has ended for good.
    bool m_HasRegressed = false; ///< It has lost part of its log.
    std::map<ControlSessionId, Report>
        m_Reports; ///< Latest report of each session.
    std::optional<Instant>
        m_ProbeFailedAt; ///< Last failed position call, unless a later one has
                         ///< succeeded.
    std::uint64_t m_Incarnation =
        0; ///< Latest incarnation that has announced itself.
    std::uint64_t m_Sequence = 0; ///< Latest announcement of that incarnation.
  };

  /// Numbers of proxies with a recent report about a server, by kind.
  struct ReportCounts final {
    std::size_t m_Unreachable = 0; ///< Proxies that could not reach it.
    std::size_t m_NotPrimary =
        0; ///< Proxies whose writes it refused because it is not the primary.
    std::size_t m_SlowAnswers =
        0; ///< Proxies that have waited for an answer for a while.
  };

  ServerMonitor(LeaderContext &Context, const GroupParticipants &Participants,
                BackendCalls &Calls)
      : m_Context(Context), m_Participants(Participants), m_Calls(Calls) {}

  void reset();
  void becameLeader(Instant Now);
  void announcementReceived(const ServerAnnouncement &Announcement,
                            Instant Now);
  void suspicionReported(const ServerSuspicion &Suspicion, Instant Now);
  void callCompleted(const BackendCalls::Call &Call,
                     const BackendCallResult &Result, Instant Now);
  /// Makes position calls to silent or reported servers.
  void probeServers(Instant Now);
  /// Discards the reports of an ended session.
  void sessionEnded(ControlSessionId Session);
  /// Clears the regression of a server after a committed change has reacted to
  /// it.
  void clearRegression(const GroupId &Group, const ServerId &Server);

  /// The observed state of a server, or null.
  const ServerStatus *find(const GroupId &Group, const ServerId &Server) const;
  /// Time since the last announcement or answered call of a server.
  Duration silence(const GroupId &Group, const ServerId &Server,
                   Instant Now) const;
  /// Time since the last announcement of a server.
  Duration announcementSilence(const GroupId &Group, const ServerId &Server,
                               Instant Now) const;
  /// Counts the reports about a server within the last
  /// ControlLeaderSettings::m_EvidenceWindow.
  ReportCounts recentReports(const GroupId &Group, const ServerId &Server,
                             Instant Now) const;
  /// True if the server has failed, so that it must be replaced if it is the
  /// primary.
  bool hasFailed(const GroupId &Group, const ServerId &Server,
                 Instant Now) const;
  /// Replication lag: time since the primary reached a position that the server
  /// has not reached yet; the maximum if that is unknown.
  Duration lag(const GroupRecord &Group, const ServerId &Server,
               Instant Now) const;
  /// True if the appointed primary has reported that role in the group's term.
  bool isPromoted(const GroupRecord &Group) const;
  /// True if \p Server is a replica in the group's term.
  bool isFollowing(const GroupRecord &Group, const ServerId &Server) const;

private:
  /// True if a later announcement has arrived before \p Announcement.
  static bool isOutdated(const ServerStatus &Status,
                         const ServerAnnouncement &Announcement);
  /// The end of a primary's log at an instant.
  struct Sample final {
    Instant m_At{};         ///< When the position arrived.
    LogPosition m_Position; ///< End of the log.
  };

  struct Samples final {
    Term m_Term;                  ///< Term of all samples.
    std::deque<Sample> m_Samples; ///< Oldest first.
  };

  ServerStatus &observe(const GroupId &Group, const ServerId &Server);
  void recordPoint(const GroupId &Group, const ServerId &Server,
                   const LogPoint &Point, BackendRole Role, Instant Now);
  void recordSample(const GroupId &Group, const ServerId &Server,
                    const LogPoint &Point, Instant Now);
  std::size_t countReports(const ServerStatus &Status, Instant Now) const;
  bool isReportedDown(const ServerStatus &Status, Instant Now) const;

  LeaderContext &m_Context;                ///< Shared.
  const GroupParticipants &m_Participants; ///< Who takes part in each group.
  BackendCalls &m_Calls;                   ///< Calls to backend servers.
  Instant m_SilenceCountedFrom{}; ///< Silence is counted from this time at the
                                  ///< earliest.
  std::map<std::pair<GroupId, ServerId>, ServerStatus>
      m_Servers; ///< By server.
  std::map<GroupId, Samples>
      m_Samples; ///< Log positions of the current primaries.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_SERVERMONITOR_H
