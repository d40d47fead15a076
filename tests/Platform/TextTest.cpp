#include "platform/ConfigurationText.h"
#include "platform/HeartbeatText.h"
#include "platform/StatusCall.h"
#include "platform/WireText.h"
#include "ragwortmux/Process/Support/DigestKey.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace ragwortmux::platform {

namespace {

/// A statement with its expected parse result; no kind if it is malformed.
struct StatementCase final {
  std::string m_Text;
  std::optional<StatementKind> m_Kind;
  std::string m_Name;
  std::string m_Rest;
  bool m_Writes = false;
};

std::ostream &operator<<(std::ostream &Stream, const StatementCase &Case) {
  return Stream << '"' << Case.m_Text << '"';
}

const std::vector<StatementCase> StatementCases = {
    {"BEGIN", StatementKind::Begin},
    {"BEGIN READ", StatementKind::BeginRead},
    {"BEGIN WRITE", std::nullopt},
    {"COMMIT", StatementKind::Commit},
    {"COMMIT x", std::nullopt},
    {"ROLLBACK", StatementKind::Rollback},
    {"READ 1a4", StatementKind::Read},
    {"READ", std::nullopt},
    {"READ a b", std::nullopt},
    {"WRITE 1a4 x y", StatementKind::Write, "", "", true},
    {"WRITE 1a4", std::nullopt},
    {"SET a b c", StatementKind::SetValue, "a", "b c"},
    {"SET a", std::nullopt},
    {"PREPARE s1 WRITE q2c", StatementKind::Prepare, "s1", "WRITE q2c", true},
    {"PREPARE s1 READ q2c", StatementKind::Prepare, "s1", "READ q2c"},
    {"PREPARE s1 DROP q2c", std::nullopt},
    {"EXECUTE s1 1a4 data", StatementKind::Execute, "s1", "1a4 data"},
    {"EXECUTE s1", std::nullopt},
    {"DEALLOC s1", StatementKind::Deallocate, "s1"},
    // Statements that only the proxy may send to backend servers.
    {"SINCE 3.1 READ a", std::nullopt},
    {"STATUS", std::nullopt},
    {"DISCARD", std::nullopt},
    {"", std::nullopt},
    {"read a", std::nullopt},
};

/// An edit of a valid document and whether the result is still valid.
struct DocumentCase final {
  std::string m_Old;
  std::string m_New;
  bool m_IsValid;
};

std::ostream &operator<<(std::ostream &Stream, const DocumentCase &Case) {
  return Stream << Case.m_Old << " -> " << Case.m_New;
}

const std::string Configuration =
    R"({"version":7,"routes":[)"
    R"({"name":"r-1","dbName":"one","pathPrefix":"/","kind":"primary",)"
    R"("timeoutMs":1000,"targetLatencyMs":250,"priority":1,"service":"s",)"
    R"("maxAttempts":2},)"
    R"({"name":"r-2","dbName":"two","pathPrefix":"/",)"
    R"("kind":"bounded_staleness","timeoutMs":2000,"targetLatencyMs":600,)"
    R"("priority":2,"service":"s","maxAttempts":2,"maxStalenessMs":1500}],)"
    R"("services":[{"name":"s","maxConns":34,"syncReplicas":1}],)"
    R"("limits":{"txIdleMs":3000}})";

const std::vector<DocumentCase> ConfigurationCases = {
    {"", "", true},
    {R"("service":"s")", R"("service":"t")", false},
    {R"("timeoutMs":1000)", R"("timeoutMs":0)", false},
    {R"("timeoutMs":1000)", R"("timeoutMs":-1)", false},
    {R"("timeoutMs":1000)", R"("timeoutMs":"1000")", false},
    {R"("timeoutMs":1000,)", "", false},
    {R"("dbName":"two")", R"("dbName":"one")", false},
    {R"("kind":"primary")", R"("kind":"other")", false},
    {R"("version":7)", R"("version":"7")", false},
    {R"("version":7)", R"("version":7.5)", false},
    {R"("version":7,)", "", false},
    {R"("services":[)", R"("services":{},"x":[)", false},
    {R"("name":"s",)", "", false},
    {R"("txIdleMs":3000)", R"("txIdleMs":"long")", false},
    {R"("limits":{"txIdleMs":3000})", R"("new":[1,2])", true},
    {R"(}})", R"(})", false},
};

std::string replaceLast(std::string Text, const std::string &Old,
                        const std::string &New) {
  const std::size_t At = Text.rfind(Old);
  BOOST_REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

/// A valid heartbeat.
const std::string Heartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":3,"state":"ready","coldRemainingMs":0,"dbRole":"replica",)"
    R"("sequence":4,"born":1700000000000})";

/// The time at which the heartbeats are received: an hour after their start.
const WallTime HeartbeatTime{std::chrono::milliseconds(1700003600000)};

const std::vector<DocumentCase> HeartbeatCases = {
    {"", "", true},
    {R"("state":"ready")", R"("state":"draining")", true},
    {R"("state":"ready")", R"("state":"asleep")", false},
    {R"("dbRole":"replica")", R"("dbRole":"primary")", true},
    {R"("dbRole":"replica")", R"("dbRole":3)", false},
    {R"("slots":3)", R"("slots":"3")", false},
    {R"("slots":3,)", "", false},
    {"10.0.0.9:8080", "10.0.0.9", false},
    {"10.0.0.9:8080", "nowhere:1", false},
    {R"(,"born":1700000000000)", "", true},
    {R"("born":1700000000000)", R"("born":1.5)", false},
    {R"("born":1700000000000)", R"("born":-1)", false},
    {R"("born":1700000000000)", R"("born":1700000043200000)", false},
    {R"("born":1700000000000)", R"("born":9223372036854775807)", false},
    {R"("born":1700000000000)", R"("born":1e30)", false},
    {R"("sequence":4)", R"("sequence":9223372036854775807)", false},
    {R"("sequence":4)", R"("sequence":-4)", false},
    {R"("sequence":4)", R"("sequence":123456789012345678901234567890)", false},
    {R"("slots":3)", R"("slots":0)", false},
    {R"("slots":3)", R"("slots":1e400)", false},
    {"10.0.0.9:8080", "10.0.0.9:0", false},
    {"10.0.0.9:8080", "10.0.0.9:65536", false},
    {"10.0.0.9:8080", "10.0.0.9:1000000000000000000000000000000", false},
    {"10.0.0.9:8080", "10.0.0.9:-80", false},
    {R"("zone":"z",)", "", false},
    {R"("service":"s")", R"("service":"")", false},
    {R"("service":"s")", R"("service":"s t")", false},
    {R"("service":"s")", R"("service":"s\r\nQUERY - DISCARD")", false},
    {R"("service":"s")", R"("service":"s\u0000")", false},
    {R"(})", "", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(TextTest)

BOOST_DATA_TEST_CASE(ParsesStatements,
                     boost::unit_test::data::make(StatementCases), Case) {
  const auto Parsed = parseStatement("5c0e", Case.m_Text);
  BOOST_REQUIRE(Parsed.has_value() == Case.m_Kind.has_value());
  if (!Parsed)
    return;
  BOOST_TEST((Parsed->m_Kind == *Case.m_Kind));
  BOOST_TEST(Parsed->m_Name == Case.m_Name);
  BOOST_TEST(Parsed->m_Rest == Case.m_Rest);
  BOOST_TEST(Parsed->m_Writes == Case.m_Writes);
  BOOST_TEST(Parsed->m_Text == Case.m_Text);
}

BOOST_AUTO_TEST_CASE(RejectsReservedStatementIds) {
  BOOST_TEST(!parseStatement("-", "READ a").has_value());
  BOOST_TEST(!parseStatement("", "READ a").has_value());
}

BOOST_AUTO_TEST_CASE(FormatsValuesApartFromStatement) {
  const std::vector<SessionStep> Steps = {
      {SessionStep::Kind::Discard, "", ""},
      {SessionStep::Kind::SetValue, "tenant", "7"}};
  BOOST_TEST(formatSteps(Steps) == "QUERY - DISCARD\r\n"
                                   "QUERY - SET tenant 7\r\n");
  RunStatement Run;
  Run.m_Statement = *parseStatement("5c0e", "EXECUTE s1 1a4 data");
  Run.m_PreparedName = "p1";
  Run.m_Floor = LogPoint{Term(3), LogPosition(1207)};
  BOOST_TEST(formatRun(Run) ==
             "QUERY 5c0e SINCE 3.1207 EXECUTE p1 1a4 data\r\n");
  Run.m_Prepare = SessionStep{SessionStep::Kind::Prepare, "p1", "READ q2c"};
  BOOST_TEST(formatRun(Run) ==
             "QUERY - PREPARE p1 READ q2c\r\n"
             "QUERY 5c0e SINCE 3.1207 EXECUTE p1 1a4 data\r\n");
}

BOOST_AUTO_TEST_CASE(ConvertsPositionsAndTransactionStates) {
  BOOST_TEST((parsePosition("3.1207") == LogPoint{Term(3), LogPosition(1207)}));
  for (const char *Text : {"-", "", "3", "3.", ".7", "3.x", "3.7 ", "-1.2"})
    BOOST_TEST(!parsePosition(Text).has_value(), Text);
  BOOST_TEST((parseTransactionStatus("E") == TransactionStatus::Failed));
  BOOST_TEST(!parseTransactionStatus("X").has_value());
  BOOST_TEST(formatReady(TransactionStatus::Idle, std::nullopt) ==
             "READY I -\r\n");
}

BOOST_AUTO_TEST_CASE(NotRunResultsMapToNotRunErrorCodes) {
  const std::vector<std::string_view> Promises = {
      "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};
  const std::vector<std::string_view> NotRun = {"NODB", "NOSTMT", "MALFORMED",
                                                "UNAUTH"};
  for (const ResultCodeInfo &Info : allResultCodes()) {
    const std::string_view Word = errorCode(Info.m_Code);
    const bool IsPromise =
        std::find(Promises.begin(), Promises.end(), Word) != Promises.end();
    const bool IsOther =
        std::find(NotRun.begin(), NotRun.end(), Word) != NotRun.end();
    BOOST_TEST((IsPromise || IsOther) == isNotRun(Info.m_Code), Info.m_Name);
  }
}

BOOST_AUTO_TEST_CASE(ParsesStatusRows) {
  const auto Status = parseStatus("replica 3 3.1209 0 12 2 17");
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(!Status->m_IsPrimary);
  BOOST_TEST((Status->m_Received == LogPoint{Term(3), LogPosition(1209)}));
  // A new primary has a log of the term before until its first commit.
  BOOST_TEST((parseStatus("primary 4 3.1209 0 0 2 17")->m_Term == Term(4)));
  for (const char *Row : {"", "other 3 3.1", "primary 3 -", "primary",
                          "primary x 3.1", "primary - 3.1", "primary -1 3.1"})
    BOOST_TEST(!parseStatus(Row).has_value(), Row);
}

BOOST_DATA_TEST_CASE(ValidatesConfigurations,
                     boost::unit_test::data::make(ConfigurationCases), Case) {
  std::string Reason;
  const auto Parsed = parseConfiguration(
      replaceLast(Configuration, Case.m_Old, Case.m_New), Reason);
  BOOST_TEST(Parsed.has_value() == Case.m_IsValid);
  BOOST_TEST(Reason.empty() == Case.m_IsValid);
}

BOOST_AUTO_TEST_CASE(ConvertsConfigurationToCatalogue) {
  std::string Reason;
  const auto Parsed = parseConfiguration(Configuration, Reason);
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->m_Version.value() == 7U);
  BOOST_TEST(Parsed->m_Document == Configuration);
  BOOST_REQUIRE(Parsed->m_Entries.size() == 2U);
  BOOST_TEST((Parsed->m_Entries[0].m_Class == TrafficClass::PrimarySession));
  const CatalogueEntry &Two = Parsed->m_Entries[1];
  BOOST_TEST((Two.m_Class == TrafficClass::AgedSession));
  BOOST_TEST((Two.m_Limits.m_MaxAge == std::chrono::milliseconds(1500)));
  BOOST_TEST((Two.m_Limits.m_RequestDeadline == std::chrono::seconds(2)));
  BOOST_TEST((Two.m_Limits.m_TransactionIdle == std::chrono::seconds(3)));
  BOOST_TEST(
      (Parsed->m_Groups == std::vector<GroupPolicy>{{GroupId("s"), 34, 1}}));
}

/// Configurations with tenants: the text of the list, and whether it is valid.
const std::vector<std::pair<std::string, bool>> TenantCases = {
    {R"([])", true},
    {R"([{"name":"a","apiKeys":["k"],"priority":1,"ratePerS":5,"burst":6}])",
     true},
    {R"([{"name":"a","apiKeys":[]}])", true},
    {R"([{"name":"a","apiKeys":["k","l"]},{"name":"b","apiKeys":["m"]}])",
     true},
    {R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])", false},
    {R"([{"name":"a","apiKeys":["k","k"]}])", false},
    {R"([{"name":"a","apiKeys":["k"]},{"name":"a","apiKeys":["l"]}])", false},
    {R"([{"name":"","apiKeys":["k"]}])", false},
    {R"([{"name":"a b","apiKeys":["k"]}])", false},
    {R"([{"name":"a","apiKeys":[""]}])", false},
    {R"([{"name":"a","apiKeys":[7]}])", false},
    {R"([{"name":"a","apiKeys":"k"}])", false},
    {R"([{"name":"a"}])", false},
    {R"([{"apiKeys":["k"]}])", false},
    {R"([{"name":"a","apiKeys":["k"],"ratePerS":-1}])", false},
    {R"([7])", false},
    {R"({})", false},
};

// Guards against acknowledging workspaces that cannot be served.
BOOST_AUTO_TEST_CASE(ValidatesTenants) {
  for (const auto &[Tenants, IsValid] : TenantCases) {
    std::string Text = Configuration;
    Text.replace(Text.rfind('}'), 1, ",\"tenants\":" + Tenants + "}");
    std::string Reason;
    const auto Parsed = parseConfiguration(Text, Reason);
    BOOST_TEST(Parsed.has_value() == IsValid, Tenants << ": " << Reason);
    BOOST_TEST(Reason.empty() == IsValid);
  }
}

// Guards against earlier configurations whose callers suddenly need keys, and
// against entries that are open though the configuration says otherwise.
BOOST_AUTO_TEST_CASE(EntriesRequireKeysWhereConfigurationHasTenants) {
  struct Row final {
    std::string m_Route;  ///< Added to the first route.
    std::string m_Rest;   ///< Added to the configuration.
    bool m_IsKeyRequired; ///< For the first route.
  };
  const std::vector<Row> Rows = {
      {"", "", false},
      {"", R"(,"tenants":[{"name":"a","apiKeys":["k"]}])", true},
      {R"(,"anonymous":false)", "", true},
      {R"(,"anonymous":true)", R"(,"tenants":[])", false},
      {R"(,"anonymous":false)", R"(,"tenants":[])", true}};
  for (const Row &Each : Rows) {
    std::string Text = Configuration;
    Text.replace(Text.rfind('}'), 1, Each.m_Rest + "}");
    const std::string Before = R"("maxAttempts":2)";
    Text.insert(Text.find(Before) + Before.size(), Each.m_Route);
    std::string Reason;
    const auto Parsed = parseConfiguration(Text, Reason);
    BOOST_REQUIRE(Parsed);
    BOOST_TEST(Parsed->m_Entries[0].m_RequiresKey == Each.m_IsKeyRequired);
  }
}

BOOST_AUTO_TEST_CASE(ConvertsTenantsToWorkspaces) {
  std::string Text = Configuration;
  Text.replace(Text.rfind('}'), 1,
               R"(,"tenants":[{"name":"a","apiKeys":["k","l"],)"
               R"("priority":1,"ratePerS":5,"burst":6}]})");
  std::string Reason;
  const auto Parsed = parseConfiguration(Text, Reason);
  BOOST_REQUIRE(Parsed);
  const Workspace Expected{
      WorkspaceId("a"), {digestKey("k"), digestKey("l")}, {5, 6}};
  BOOST_TEST((Parsed->m_Workspaces == std::vector<Workspace>{Expected}));
}

BOOST_DATA_TEST_CASE(ValidatesHeartbeats,
                     boost::unit_test::data::make(HeartbeatCases), Case) {
  const auto Parsed = parseHeartbeat(
      "i-1", replaceLast(Heartbeat, Case.m_Old, Case.m_New), HeartbeatTime);
  BOOST_TEST(Parsed.has_value() == Case.m_IsValid);
}

/// Malformed input must be rejected without a crash.
// An id becomes a field of the message that opens a connection.
BOOST_AUTO_TEST_CASE(RejectsServerIdsThatAreNotOneWord) {
  for (const char *Id : {"", "i 1", "i-1\r\nQUERY x WRITE 1 2", "i-1\n", "\r"})
    BOOST_TEST(!parseHeartbeat(Id, Heartbeat, HeartbeatTime).has_value());
  BOOST_TEST(parseHeartbeat("i-1", Heartbeat, HeartbeatTime).has_value());
}

BOOST_AUTO_TEST_CASE(ParsersTolerateRandomInput) {
  std::mt19937_64 Random(20261204);
  const std::vector<std::string> Seeds = {Configuration,
                                          Heartbeat,
                                          "PREPARE s1 WRITE q2c",
                                          "3.1207",
                                          "replica 3 3.1209 0 12 2 17",
                                          "EXECUTE s1 1a4 data"};
  for (int Run = 0; Run < 10000; ++Run) {
    std::string Text = Seeds[Random() % Seeds.size()];
    for (std::uint64_t Left = 1 + Random() % 6; Left > 0; --Left) {
      const std::size_t At = Random() % (Text.size() + 1);
      if (Random() % 3 == 0)
        Text.resize(At);
      else if (Random() % 2 == 0)
        Text.insert(At, 1, static_cast<char>(Random()));
      else if (At < Text.size())
        Text[At] = static_cast<char>(Random());
    }
    std::string Reason;
    const auto Parsed = parseConfiguration(Text, Reason);
    BOOST_TEST_REQUIRE((Parsed.has_value() || !Reason.empty()));
    parseHeartbeat("i-1", Text, HeartbeatTime);
    parseStatement("id", Text);
    parsePosition(Text);
    parseStatus(Text);
    parseTransactionStatus(Text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
