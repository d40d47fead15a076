#include "ragwortmux/Process/Support/Timeline.h"
#include "ragwortmux/Process/Support/TimelineMerger.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <fstream>
#include <ostream>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

TimelineEvent makeEvent(EventKind Kind, const char *Request = "",
                        const char *Group = "", std::string Text = "") {
  TimelineEvent Event;
  Event.m_Kind = Kind;
  Event.m_Request = Request;
  Event.m_Group = GroupId(Group);
  Event.m_Text = std::move(Text);
  return Event;
}

/// A temporary folder for each test and a clock whose wall time the test sets.
struct FolderFixture {
  FolderFixture() {
    static int Number = 0;
    m_Folder = std::filesystem::temp_directory_path() /
               ("rwm-timeline-" + std::to_string(getpid()) + "-" +
                std::to_string(++Number));
  }
  ~FolderFixture() {
    std::error_code Error;
    std::filesystem::remove_all(m_Folder, Error);
  }

  TimelineSettings settings(const char *Host) const {
    return {m_Folder, HostId(Host)};
  }

  /// Writes the time lines of two hosts whose events interleave.
  void writeTwoHosts() {
    Timeline First(settings("a"), m_Clock);
    Timeline Second(settings("b"), m_Clock);
    First.record(makeEvent(EventKind::RequestArrived, "r1", "g1"));
    Second.record(makeEvent(EventKind::RequestArrived, "r2", "g2"));
    First.record(makeEvent(EventKind::RequestSent, "r1", "g1"));
    Second.record(makeEvent(EventKind::TermEnded, "", "g1"));
    First.record(makeEvent(EventKind::RequestAnswered, "r1", "g1"));
  }

  void appendTo(const char *Name, std::string_view Text) const {
    std::ofstream(m_Folder / Name, std::ios::app) << Text;
  }

  std::vector<TimelineEvent> merged(const TimelineFilter &Filter = {}) {
    TimelineMerger Merger(Filter);
    BOOST_TEST(Merger.add(m_Folder));
    m_UnreadableLines = Merger.unreadableLines();
    return Merger.merge();
  }

  std::filesystem::path m_Folder;
  WallTime m_Wall{1700000000000ms};
  HybridClock m_Clock{[this] { return m_Wall; }};
  std::uint64_t m_UnreadableLines = 0;
};

/// A filter and the kinds of the events that match it.
struct FilterCase final {
  TimelineFilter m_Filter;
  std::vector<EventKind> m_Kinds;
};

std::ostream &operator<<(std::ostream &Stream, const FilterCase &Case) {
  return Stream << Case.m_Kinds.size() << " events";
}

const std::vector<FilterCase> FilterCases = {
    {{},
     {EventKind::RequestArrived, EventKind::RequestArrived,
      EventKind::RequestSent, EventKind::TermEnded,
      EventKind::RequestAnswered}},
    {{"r1", {}, {}},
     {EventKind::RequestArrived, EventKind::RequestSent,
      EventKind::RequestAnswered}},
    {{{}, GroupId("g1"), {}},
     {EventKind::RequestArrived, EventKind::RequestSent, EventKind::TermEnded,
      EventKind::RequestAnswered}},
    {{{}, {}, EventKind::RequestArrived},
     {EventKind::RequestArrived, EventKind::RequestArrived}},
    {{"r2", GroupId("g2"), EventKind::RequestArrived},
     {EventKind::RequestArrived}},
    {{"r2", GroupId("g1"), {}}, {}},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TimelineTest, FolderFixture)

BOOST_DATA_TEST_CASE_F(FolderFixture, FiltersKeepMergedOrder,
                       boost::unit_test::data::make(FilterCases), Case) {
  writeTwoHosts();
  const std::vector<TimelineEvent> Events = merged(Case.m_Filter);
  BOOST_TEST_REQUIRE(Events.size() == Case.m_Kinds.size());
  for (std::size_t Index = 0; Index < Events.size(); ++Index) {
    BOOST_TEST((Events[Index].m_Kind == Case.m_Kinds[Index]));
    if (Index > 0)
      BOOST_TEST((Events[Index - 1].m_Clock < Events[Index].m_Clock));
  }
  BOOST_TEST(m_UnreadableLines == 0U);
}

BOOST_AUTO_TEST_CASE(EventsRoundTripThroughJson) {
  for (const EventKindInfo &Info : allEventKinds()) {
    TimelineEvent Event =
        makeEvent(Info.m_Kind, "r\"1", "g\\1", "two\nlines {} \x01 \xc3\x85se");
    Event.m_Term = Term(std::numeric_limits<std::uint64_t>::max());
    Event.m_Host = HostId("a");
    Event.m_Clock = m_Clock.now();
    const std::string Line = formatTimelineJson(Event);
    BOOST_TEST(Line.find('\n') == std::string::npos);
    const std::optional<TimelineEvent> Read = parseTimelineJson(Line);
    BOOST_TEST_REQUIRE(Read.has_value(), Line);
    BOOST_TEST((*Read == Event));
    BOOST_TEST(eventKindName(Info.m_Kind) == Info.m_Name);
  }
}

BOOST_AUTO_TEST_CASE(TruncatedLineLosesOnlyItself) {
  writeTwoHosts();
  appendTo("a.jsonl", R"({"ms":1700000000000,"counter":9,"host":"a","ki)");
  BOOST_TEST(merged().size() == 5U);
  BOOST_TEST(m_UnreadableLines == 1U);

  // A restarted process appends to the same file.
  {
    Timeline Restarted(settings("a"), m_Clock);
    Restarted.record(makeEvent(EventKind::ProcessStarted));
  }
  const std::vector<TimelineEvent> Events = merged();
  BOOST_TEST_REQUIRE(Events.size() == 6U);
  BOOST_TEST((Events.back().m_Kind == EventKind::ProcessStarted));
  BOOST_TEST(m_UnreadableLines == 1U);
}

BOOST_AUTO_TEST_CASE(MalformedLinesAreCounted) {
  writeTwoHosts();
  appendTo("b.jsonl", "{}\n[]\n\xff\n{\"ms\":-1}\n");
  appendTo("notes.txt", "not a time line\n");
  BOOST_TEST(merged().size() == 5U);
  BOOST_TEST(m_UnreadableLines == 4U);
}

BOOST_AUTO_TEST_CASE(RotationDeletesOldestFiles) {
  TimelineSettings Settings = settings("a");
  Settings.m_MaxFileBytes = 200;
  Settings.m_MaxFiles = 3;
  Timeline Recorder(Settings, m_Clock);
  for (int Number = 0; Number < 10; ++Number) {
    Recorder.record(makeEvent(EventKind::CallerConnected, "", "",
                              std::string(200, 'x') + std::to_string(Number)));
    Recorder.flush();
  }
  // The last flush has rotated the current file, so two older ones are left.
  const std::vector<TimelineEvent> Events = merged();
  BOOST_TEST_REQUIRE(Events.size() == 2U);
  BOOST_TEST(Events.front().m_Text.ends_with("8"));
  BOOST_TEST(Events.back().m_Text.ends_with("9"));
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenBeforeFlush) {
  Timeline Recorder(settings("a"), m_Clock);
  Recorder.record(makeEvent(EventKind::DrainStarted));
  BOOST_TEST(!std::filesystem::exists(m_Folder));
  Recorder.flush();
  BOOST_TEST(merged().size() == 1U);
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenWithoutFolder) {
  TimelineSettings Settings;
  Settings.m_Host = HostId("a");
  Timeline Recorder(Settings, m_Clock);
  BOOST_TEST(!Recorder.isEnabled());
  Recorder.record(makeEvent(EventKind::DrainStarted));
  Recorder.flush();
  BOOST_TEST(!std::filesystem::exists("a.jsonl"));
}

BOOST_AUTO_TEST_CASE(UnwritableFolderLosesOnlyEvents) {
  std::ofstream(m_Folder) << "a file where the folder should be";
  Timeline Recorder(settings("a"), m_Clock);
  for (int Round = 0; Round < 2; ++Round) {
    Recorder.record(makeEvent(EventKind::DrainStarted));
    Recorder.flush();
  }
  BOOST_TEST(!TimelineMerger({}).add(m_Folder / "a.jsonl"));
}

BOOST_AUTO_TEST_CASE(TextFormatContainsAllFields) {
  TimelineEvent Event =
      makeEvent(EventKind::RequestSent, "r1", "g1", "To server s1.");
  Event.m_Clock = makeHybridTime(1700000000123, 4);
  Event.m_Host = HostId("a");
  Event.m_Term = Term(7);
  BOOST_TEST(formatTimelineText(Event) ==
             "2023-11-14T22:13:20.123Z+4 a request-sent group=g1 term=7 "
             "request=r1: To server s1.");
}

BOOST_AUTO_TEST_SUITE_END()
