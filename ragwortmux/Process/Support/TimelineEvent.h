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

/// What kind of event a time line holds.
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

/// An event kind and its word.
struct EventKindInfo final {
  EventKind m_Kind;           ///< The kind.
  std::string_view m_Name;    ///< Its word in files and filters.
  std::string_view m_Meaning; ///< One sentence for people.
};

/// All kinds, in the order of EventKind.
std::span<const EventKindInfo> allEventKinds();
/// The word for \p Kind.
std::string_view eventKindName(EventKind Kind);
/// The kind that \p Name stands for.
std::optional<EventKind> parseEventKind(std::string_view Name);

/// One event of a process.
struct TimelineEvent final {
  HybridTime m_Clock;                           ///< When it happened.
  HostId m_Host;                                ///< Where it happened.
  EventKind m_Kind = EventKind::ProcessStarted; ///< What happened.
  std::string m_Request; ///< Request key, attempt id or `HOST-NUMBER`; may be
                         ///< empty.
  GroupId m_Group;       ///< The group concerned; may be empty.
  Term m_Term;           ///< The group's or the log's term; 0 if none.
  std::string m_Text;    ///< One short sentence; may be empty.

  friend bool operator==(const TimelineEvent &,
                         const TimelineEvent &) = default;
};

/// \p Event as one JSON object without a line feed. Its texts go through
/// toJsonText, so that the line can always be read again.
std::string formatTimelineJson(const TimelineEvent &Event);
/// Parses what formatTimelineJson gives; none for anything else.
std::optional<TimelineEvent> parseTimelineJson(std::string_view Line);
/// \p Event as one line for people.
std::string formatTimelineText(const TimelineEvent &Event);

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_TIMELINEEVENT_H
