#include "ragwortmux/Process/Entry/StatementLog.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

struct Fixture {
  Fixture() {
    CatalogueDelta Delta;
    Delta.m_Revision = Revision(1);
    Delta.m_IsWhole = true;
    CatalogueItem Item;
    Item.m_Entry.m_Name = EntryName("e");
    Item.m_Entry.m_Class = TrafficClass::OwnWritesSession;
    Delta.m_Items.push_back(Item);
    m_Catalogue.apply(Delta);
  }

  void record(SessionDecision Decision, ResultCode Code, int WaitedMs,
              bool AtPrimary = false) {
    SessionDecisionRecord Record;
    Record.m_Decision = Decision;
    Record.m_Entry = EntryName("e");
    Record.m_Code = Code;
    Record.m_Waited = milliseconds(WaitedMs);
    Record.m_Running = milliseconds(1);
    Record.m_IsRead = true;
    Record.m_AtPrimary = AtPrimary;
    Record.m_Tries = 1;
    m_Log.record(GroupId("g"), Record);
  }

  bool hasMetric(const std::string &Line) const {
    return m_Metrics.renderPrometheus().find(Line) != std::string::npos;
  }

  Metrics m_Metrics;
  CatalogueCache m_Catalogue;
  StatementLog m_Log{m_Metrics, m_Catalogue};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatementLogTest, Fixture)

BOOST_AUTO_TEST_CASE(SuccessfulStatementsAreSummarized) {
  for (const bool AtPrimary : {true, false, false}) {
    record(SessionDecision::Sent, ResultCode::Ok, AtPrimary ? 7 : 2, AtPrimary);
    record(SessionDecision::Answered, ResultCode::Ok, 30, AtPrimary);
  }
  record(SessionDecision::Refused, ResultCode::NotRunNoLease, 400);
  BOOST_TEST(m_Log.summary().m_Sent == 3U);
  BOOST_TEST(m_Log.summary().m_Answered == 3U);
  BOOST_TEST(m_Log.summary().m_FromReplicas == 2U);
  BOOST_TEST((m_Log.summary().m_LongestWait == milliseconds(7)));
  m_Log.writeSummary();
  BOOST_TEST(m_Log.summary().m_Sent == 0U);
}

BOOST_AUTO_TEST_CASE(StagesAndOutcomesAreCounted) {
  record(SessionDecision::Sent, ResultCode::Ok, 2);
  record(SessionDecision::Retried, ResultCode::NotRunTooOld, 5);
  record(SessionDecision::Answered, ResultCode::Ok, 30, true);
  record(SessionDecision::Unknown, ResultCode::OutcomeUnknown, 1000);
  const std::string Class = "class=\"own-writes-session\"";
  BOOST_TEST(hasMetric("ragwortmux_queue_seconds_count{" + Class + "} 1"));
  BOOST_TEST(hasMetric("ragwortmux_run_seconds_count{" + Class + "} 1"));
  BOOST_TEST(hasMetric("ragwortmux_retries_total{" + Class + "} 1"));
  BOOST_TEST(
      hasMetric("ragwortmux_reads_total{" + Class + ",role=\"primary\"} 1"));
  BOOST_TEST(hasMetric("ragwortmux_requests_total{" + Class +
                       ",result=\"outcome-unknown\"} 1"));
}

// Guards against a refusal to shed load that nobody can tell from another.
BOOST_AUTO_TEST_CASE(ShedStatementsAreCountedByReasonAndLogged) {
  const std::pair<ShedReason, std::string> Cases[] = {
      {ShedReason::Deadline, "deadline"},
      {ShedReason::Count, "count"},
      {ShedReason::Bytes, "bytes"}};
  for (const auto &[Reason, Name] : Cases) {
    std::ostringstream Output;
    LogSettings Settings;
    Settings.m_Output = &Output;
    Settings.m_Format = LogFormat::Json;
    startLog(Settings);
    SessionDecisionRecord Record;
    Record.m_Decision = SessionDecision::Refused;
    Record.m_Entry = EntryName("e");
    Record.m_Code = ResultCode::NotRunQueueFull;
    Record.m_Workspace = WorkspaceId("w1");
    Record.m_Shed = Reason;
    m_Log.record(GroupId("g"), Record);
    BOOST_TEST(hasMetric("ragwortmux_shed_statements_total{class=\"own-writes-"
                         "session\",reason=\"" +
                         Name + "\"} 1"));
    BOOST_TEST(Output.str().find("\"shed\":\"" + Name + "\"") !=
               std::string::npos);
    BOOST_TEST(Output.str().find("\"workspace\":\"w1\"") != std::string::npos);
    startLog({});
  }
}

// Guards against totals that are counted again with each update, and against a
// change of the share without its inputs in the log.
BOOST_AUTO_TEST_CASE(ReadsByFailureDomainAreCountedAndChangesLogged) {
  std::ostringstream Output;
  LogSettings Settings;
  Settings.m_Output = &Output;
  startLog(Settings);
  CrossDomainCounts Counts;
  Counts.m_Near = 5;
  Counts.m_Far = 2;
  Counts.m_FarBytes = 700;
  for (int Update = 0; Update < 2; ++Update)
    m_Log.countCrossDomain(GroupId("g"), Counts, 0.1);
  BOOST_TEST(hasMetric(
      "ragwortmux_reads_by_domain_total{group=\"g\",domain=\"near\"} 5"));
  BOOST_TEST(hasMetric(
      "ragwortmux_reads_by_domain_total{group=\"g\",domain=\"far\"} 2"));
  BOOST_TEST(hasMetric("ragwortmux_foreign_read_bytes_total{group=\"g\"} 700"));
  BOOST_TEST(hasMetric("ragwortmux_foreign_read_share{group=\"g\"} 0.1"));

  CrossDomainChange Change;
  Change.m_Reason = CrossDomainChangeReason::FarRefuses;
  Change.m_Before = 0.3;
  Change.m_Share = 0.21;
  Change.m_Limit = 0.35;
  m_Log.recordCrossDomain(GroupId("g"), Change);
  const std::string Line = Output.str();
  startLog(LogSettings());
  for (const char *Field :
       {"group=g", "reason=far_refuses", "share_before_percent=30",
        "share_percent=21", "limit_percent=35"})
    BOOST_TEST(Line.find(Field) != std::string::npos, Field);
}

BOOST_AUTO_TEST_CASE(RelayedStatementsAreCountedAndFailuresLogged) {
  std::ostringstream Output;
  LogSettings Settings;
  Settings.m_Output = &Output;
  startLog(Settings);
  const struct {
    SessionDecision m_Decision;
    ResultCode m_Code;
    const char *m_Metric;
    bool m_IsLogged;
  } Cases[] = {
      {SessionDecision::Sent, ResultCode::Ok, "sent\",result=\"ok", false},
      {SessionDecision::Answered, ResultCode::Ok, "answered\",result=\"ok",
       false},
      {SessionDecision::Answered, ResultCode::RanFailed,
       "answered\",result=\"ran-failed", true},
      {SessionDecision::Retried, ResultCode::NotRunDraining,
       "retried\",result=\"not-run-draining", true},
      {SessionDecision::Refused, ResultCode::NotRunNoConnection,
       "refused\",result=\"not-run-no-connection", true},
      {SessionDecision::Unknown, ResultCode::OutcomeUnknown,
       "unknown\",result=\"outcome-unknown", true}};
  for (const auto &Case : Cases) {
    Output.str("");
    RelayDecisionRecord Record;
    Record.m_Decision = Case.m_Decision;
    Record.m_Code = Case.m_Code;
    Record.m_Statement = StatementId("q17");
    Record.m_Host = HostId("entry-9");
    m_Log.recordRelayed(Record);
    BOOST_TEST(hasMetric("ragwortmux_relayed_statements_total{decision=\"" +
                         std::string(Case.m_Metric) + "\"} 1"));
    const bool IsLogged = Output.str().find("q17") != std::string::npos &&
                          Output.str().find("entry-9") != std::string::npos;
    BOOST_TEST(IsLogged == Case.m_IsLogged);
  }
  startLog(LogSettings());
}

// Without this line nobody can tell whether an outdated catalogue or the caller
// was wrong.
BOOST_AUTO_TEST_CASE(RefusalForMissingEntryNamesCatalogueAndLease) {
  std::ostringstream Output;
  LogSettings Settings;
  Settings.m_Output = &Output;
  startLog(Settings);
  m_Log.recordMissingEntry(EntryName("gone"), StatementId("q18"),
                           ResultCode::NotRunNoLease, milliseconds(0));
  for (const char *Part : {"gone", "q18", "107", "not-run-no-lease"})
    BOOST_TEST(Output.str().find(Part) != std::string::npos, Part);
  startLog(LogSettings());
}

BOOST_AUTO_TEST_SUITE_END()
