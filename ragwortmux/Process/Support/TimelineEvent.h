#ifndef RAGWORTMUX_PROCESS_SUPPORT_TIMELINEEVENT_H
#define RAGWORTMUX_PROCESS_SUPPORT_TIMELINEEVENT_H

#include "ragwortmux/Core/Ids.h"
#include "ragwortmux/Process/Support/HybridClock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortmux {

/// Kind of a time line event.
enum class EventKind : std::uint8_t {
  ProcessStarted,
  ProcessStopped,
  DrainStarted,
  DrainEnded,
  LeaderElected,
  LeaderLost,
  VoterChanged,
  SessionOpened,
  SessionEnded,
  LeaseLost,
  TermEnded,
  TermConfirmed,
  ServerFenced,
  PrimaryAppointed,
  PrimaryPromoted,
  SyncStateChanged,
  ServerFound,
  ServerLost,
  ServerLeaving,
  ShareChanged,
  CatalogueChanged,
  CallerConnected,
  CallerLost,
  ConnectionOpened,
  ConnectionLost,
  RequestArrived,
  RequestQueued,
  RequestSent,
  RequestRetried,
  RequestAnswered,
  RequestRefused,
  AttemptReserved,
  AttemptEnded,
};

/// An event kind, its name and its meaning.
struct EventKindInfo final {
  EventKind m_Kind;           ///< The kind.
  std::string_view m_Name;    ///< Name in files and filters.
  std::string_view m_Meaning; ///< One sentence for documentation.
};

/// All kinds, in the order of EventKind.
std::span<const EventKindInfo> allEventKinds();
/// The name of \p Kind.
std::string_view eventKindName(EventKind Kind);
/// The kind named \p Name; none if there is no such kind.
std::optional<EventKind> parseEventKind(std::string_view Name);

/// One event of a process.
struct TimelineEvent final {
  HybridTime m_Clock;                           ///< Time of the event.
  HostId m_Host;                                ///< Host that recorded it.
  EventKind m_Kind = EventKind::ProcessStarted; ///< Kind of the event.
  std::string m_Request; ///< Request key, attempt id or `HOST-NUMBER`; may be
                         ///< empty.
  GroupId m_Group;       ///< The group concerned; may be empty.
  Term m_Term;           ///< The group's or the log's term; 0 if none.
  std::string m_Text;    ///< One short sentence; may be empty.

  friend bool operator==(const TimelineEvent &,
                         const TimelineEvent &) = default;
};

/// \p Event as one JSON object without a line feed. Its texts pass through
/// toJsonText, so that parseTimelineJson can always parse the line.
std::string formatTimelineJson(const TimelineEvent &Event);
/// Parses the output of formatTimelineJson; none for anything else.
std::optional<TimelineEvent> parseTimelineJson(std::string_view Line);
/// \p Event as one line of readable text.
std::string formatTimelineText(const TimelineEvent &Event);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_TIMELINEEVENT_H
