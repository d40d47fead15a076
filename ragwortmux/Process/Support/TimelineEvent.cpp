#include "ragwortmux/Process/Support/TimelineEvent.h"

#include "ragwortmux/Process/Support/JsonFields.h"

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

namespace ragwortmux {

namespace {

constexpr std::array Kinds = {
    EventKindInfo{EventKind::ProcessStarted, "process-started",
                  "The process accepts work."},
    EventKindInfo{EventKind::ProcessStopped, "process-stopped",
                  "The process ended by itself."},
    EventKindInfo{EventKind::DrainStarted, "drain-started",
                  "A graceful shutdown began."},
    EventKindInfo{EventKind::DrainEnded, "drain-ended",
                  "No request is in flight any more."},
    EventKindInfo{EventKind::LeaderElected, "leader-elected",
                  "This control host leads the replicated log."},
    EventKindInfo{EventKind::LeaderLost, "leader-lost",
                  "This control host leads no longer."},
    EventKindInfo{EventKind::VoterChanged, "voter-changed",
                  "The voters of the replicated log changed."},
    EventKindInfo{EventKind::SessionOpened, "session-opened",
                  "An entry process opened its control session."},
    EventKindInfo{EventKind::SessionEnded, "session-ended",
                  "A control session ended."},
    EventKindInfo{EventKind::LeaseLost, "lease-lost",
                  "An entry process lost its lease."},
    EventKindInfo{EventKind::TermEnded, "term-ended",
                  "A group's term ended; it has no primary."},
    EventKindInfo{EventKind::TermConfirmed, "term-confirmed",
                  "An entry process acknowledges nothing of the old term."},
    EventKindInfo{EventKind::ServerFenced, "server-fenced",
                  "A backend server refuses lower terms."},
    EventKindInfo{EventKind::PrimaryAppointed, "primary-appointed",
                  "A group's new primary is committed."},
    EventKindInfo{EventKind::PrimaryPromoted, "primary-promoted",
                  "The new primary takes writes."},
    EventKindInfo{EventKind::SyncStateChanged, "sync-state-changed",
                  "A server's part in the in-sync set changed."},
    EventKindInfo{EventKind::ServerFound, "server-found",
                  "A backend server announced itself."},
    EventKindInfo{EventKind::ServerLost, "server-lost",
                  "A backend server's announcements stopped."},
    EventKindInfo{EventKind::ServerLeaving, "server-leaving",
                  "A backend server announced that it leaves."},
    EventKindInfo{EventKind::ShareChanged, "share-changed",
                  "A connection share changed."},
    EventKindInfo{EventKind::CatalogueChanged, "catalogue-changed",
                  "A catalogue change is in force here."},
    EventKindInfo{EventKind::CallerConnected, "caller-connected",
                  "A caller connected."},
    EventKindInfo{EventKind::CallerLost, "caller-lost",
                  "A caller's connection ended."},
    EventKindInfo{EventKind::ConnectionOpened, "connection-opened",
                  "A connection to a backend server was opened."},
    EventKindInfo{EventKind::ConnectionLost, "connection-lost",
                  "A connection to a backend server was lost."},
    EventKindInfo{EventKind::RequestArrived, "request-arrived",
                  "A request arrived."},
    EventKindInfo{EventKind::RequestQueued, "request-queued",
                  "A request waits for a connection."},
    EventKindInfo{EventKind::RequestSent, "request-sent",
                  "A request was sent to a backend server."},
    EventKindInfo{EventKind::RequestRetried, "request-retried",
                  "A request is run again elsewhere."},
    EventKindInfo{EventKind::RequestAnswered, "request-answered",
                  "A caller got the answer."},
    EventKindInfo{EventKind::RequestRefused, "request-refused",
                  "A caller got a refusal."},
    EventKindInfo{EventKind::AttemptReserved, "attempt-reserved",
                  "The ledger holds a reservation for a request key."},
    EventKindInfo{EventKind::AttemptEnded, "attempt-ended",
                  "The outcome of an attempt is recorded."},
};

constexpr std::size_t MaxLineBytes = 1U << 20U;

bool isAny(std::string_view /*Text*/) { return true; }

} // namespace

std::span<const EventKindInfo> allEventKinds() { return Kinds; }

std::string_view eventKindName(EventKind Kind) {
  return Kinds.at(static_cast<std::size_t>(Kind)).m_Name;
}

std::optional<EventKind> parseEventKind(std::string_view Name) {
  const auto *Found = std::ranges::find(Kinds, Name, &EventKindInfo::m_Name);
  if (Found == Kinds.end())
    return std::nullopt;
  return Found->m_Kind;
}

std::string formatTimelineJson(const TimelineEvent &Event) {
  boost::json::object Line;
  Line["ms"] = hybridMs(Event.m_Clock);
  Line["counter"] = hybridCounter(Event.m_Clock);
  Line["host"] = toJsonText(Event.m_Host.value());
  Line["kind"] = eventKindName(Event.m_Kind);
  Line["request"] = toJsonText(Event.m_Request);
  Line["group"] = toJsonText(Event.m_Group.value());
  Line["term"] = Event.m_Term.value();
  Line["text"] = toJsonText(Event.m_Text);
  return boost::json::serialize(Line);
}

std::optional<TimelineEvent> parseTimelineJson(std::string_view Line) {
  std::vector<SettingFault> Faults;
  const std::optional<boost::json::object> Object =
      parseJsonObject(Line, MaxLineBytes, ResultCode::BadArgument, Faults);
  if (!Object)
    return std::nullopt;

  JsonFields Fields(*Object, ResultCode::BadArgument, Faults);
  TimelineEvent Event;
  const std::uint64_t Ms = Fields.number("ms", 0, MaxHybridMs);
  Event.m_Clock =
      makeHybridTime(Ms, Fields.number("counter", 0, MaxHybridCounter));
  Event.m_Host = HostId(Fields.text("host", isAny, "a text"));
  const std::optional<EventKind> Kind =
      parseEventKind(Fields.text("kind", isAny, "an event kind"));
  Event.m_Request = Fields.text("request", isAny, "a text");
  Event.m_Group = GroupId(Fields.text("group", isAny, "a text"));
  Event.m_Term =
      Term(Fields.number("term", 0, std::numeric_limits<std::uint64_t>::max()));
  Event.m_Text = Fields.text("text", isAny, "a text");
  if (!Kind || !Faults.empty())
    return std::nullopt;
  Event.m_Kind = *Kind;
  return Event;
}

std::string formatTimelineText(const TimelineEvent &Event) {
  constexpr std::uint64_t MsPerSecond = 1000;
  const std::uint64_t Ms = hybridMs(Event.m_Clock);
  std::string Line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z+{} {} {}",
                  fmt::gmtime(static_cast<std::time_t>(Ms / MsPerSecond)),
                  Ms % MsPerSecond, hybridCounter(Event.m_Clock),
                  Event.m_Host.value(), eventKindName(Event.m_Kind));
  if (!Event.m_Group.value().empty())
    Line += " group=" + Event.m_Group.value();
  if (Event.m_Term.value() != 0)
    Line += " term=" + std::to_string(Event.m_Term.value());
  if (!Event.m_Request.empty())
    Line += " request=" + Event.m_Request;
  if (!Event.m_Text.empty())
    Line += ": " + Event.m_Text;
  return Line;
}

} // namespace ragwortmux
