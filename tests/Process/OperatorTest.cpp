#include "Cluster.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <map>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using Arguments = std::vector<std::string>;
using Environment = std::map<std::string, std::string>;

const Environment Secrets = {
    {"RAGWORTMUX_CLUSTER_KEY", "test-cluster-key"},
    {"RAGWORTMUX_OPERATOR_TOKEN", "test-operator-token"}};

/// Exit status and output of a command.
struct CommandResult final {
  int m_ExitStatus = -1; ///< Exit status; -1 if it did not end by itself.
  std::string m_Output;  ///< Standard output and standard error.
};

CommandResult runCommand(const Arguments &CommandLine,
                         const Environment &Variables = Secrets) {
  ChildProcess Process(
      {RAGWORTMUX_BINARY_DIR "/bin/ragwortmux", CommandLine, Variables});
  CommandResult Result;
  if (Process.start()) {
    const auto Status = Process.waitForExit();
    Result.m_ExitStatus =
        Status && WIFEXITED(*Status) ? WEXITSTATUS(*Status) : -1;
  }
  Result.m_Output = Process.output() + Process.errors();
  return Result;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// HTTP call that needs the operator's token.
struct OperatorCall final {
  const char *m_Method; ///< HTTP method.
  const char *m_Path;   ///< Path and parameters.
};

const std::vector<OperatorCall> OperatorCalls = {
    {"GET", "/v1/status"},
    {"GET", "/v1/catalogue"},
    {"GET", "/v1/catalogue/stock"},
    {"GET", "/v1/catalogue/stock/history"},
    {"PUT", "/v1/catalogue/stock?expect_revision=4&change_id=x"},
    {"DELETE", "/v1/catalogue/stock?expect_revision=4&change_id=y"},
    {"GET", "/v1/workspaces"},
    {"GET", "/v1/workspaces/alpha"},
    {"PUT", "/v1/workspaces/alpha?expect_revision=0&change_id=x"},
    {"POST",
     "/v1/workspaces/alpha?expect_revision=1&change_id=x&action=add-key"},
    {"DELETE", "/v1/workspaces/alpha?expect_revision=1&change_id=y"},
    {"POST", "/v1/drain"}};

/// Returns a valid announcement of another group with the value of one member
/// replaced; an empty \p Value removes the member.
std::string announcement(const std::string &Member, const std::string &Value) {
  std::map<std::string, std::string> Members = {{"group", "\"other\""},
                                                {"server", "\"o-1\""},
                                                {"domain", "\"domain-0\""},
                                                {"address", "\"127.0.0.1\""},
                                                {"port", "9"},
                                                {"role", "\"replica\""},
                                                {"term", "1"},
                                                {"position", "1"},
                                                {"slots", "5"},
                                                {"connections", "35"},
                                                {"leaving", "false"}};
  Members[Member] = Value;
  std::string Text;
  for (const auto &[Name, MemberValue] : Members) {
    if (!MemberValue.empty()) {
      Text += Text.empty() ? "{\"" : ",\"";
      Text += Name;
      Text += "\":";
      Text += MemberValue;
    }
  }
  return Text + "}";
}

struct AnnouncementFault final {
  const char *m_Member; ///< Invalid member.
  const char *m_Value;  ///< Its value; empty if it is missing.
};

const std::vector<AnnouncementFault> AnnouncementFaults = {
    {"group", ""},        {"group", "\"Other Group\""},
    {"server", ""},       {"server", "7"},
    {"domain", ""},       {"address", "\"localhost\""},
    {"port", "0"},        {"port", "65536"},
    {"port", "\"9\""},    {"role", "\"leader\""},
    {"term", "-1"},       {"term", "1.5"},
    {"position", ""},     {"position", "18446744073709551616"},
    {"slots", "0"},       {"slots", "10001"},
    {"connections", "0"}, {"connections", "null"},
    {"leaving", "2"}};

/// A command and its expected result.
struct CommandCase final {
  Arguments m_Arguments;        ///< Arguments of the command.
  int m_ExitStatus;             ///< Exit status.
  std::string m_ExpectedOutput; ///< Expected part of the output.
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorTest)

BOOST_AUTO_TEST_CASE(RejectsCallsWithoutOperatorToken) {
  Cluster System({3, 0, {}, {}});
  BOOST_REQUIRE(System.start());
  const std::uint64_t Before = System.catalogueRevision(0);
  const std::string Entry =
      "{\"name\":\"stock\",\"group\":\"ledger\",\"owner\":\"thief\","
      "\"class\":\"write\"}";
  for (const OperatorCall &Call : OperatorCalls) {
    for (const char *Token : {"", "x", "test-operator-tokem",
                              "test-operator-token2", "test-cluster-key"}) {
      const auto Answer = httpCall(System.httpPort(0), Call.m_Method,
                                   Call.m_Path, Entry, Token);
      BOOST_TEST_CONTEXT(Call.m_Method << " " << Call.m_Path << " " << Token) {
        BOOST_TEST(Answer.m_Status == 401);
        BOOST_TEST(!contains(Answer.m_Body, "ledger"));
        BOOST_TEST(!contains(Answer.m_Body, "test-operator-token"));
      }
    }
  }
  BOOST_TEST(System.catalogueRevision(0) == Before);
  BOOST_TEST(httpCall(System.httpPort(0), "GET", "/readyz").m_Status == 200);
}

BOOST_AUTO_TEST_CASE(HostWithWrongClusterKeyDoesNotJoin) {
  Cluster System({3, 0, {}, {}});
  BOOST_REQUIRE(System.start());
  for (const bool SameKey : {false, true}) {
    Environment Variables = Secrets;
    if (!SameKey) {
      Variables["RAGWORTMUX_CLUSTER_KEY"] = "other-cluster-key";
    }
    ChildProcess Host(
        {RAGWORTMUX_BINARY_DIR "/bin/ragwortmux",
         {"serve", "--host=stranger", "--failure_domain=d", "--caller_port=0",
          "--http_port=0", "--rpc_port=0", "--control_peers=" + System.peers(),
          "--max_lifetime_s=60"},
         Variables});
    BOOST_REQUIRE(Host.start());
    const auto Line = Host.waitForLine("ready ", std::chrono::seconds(10));
    BOOST_REQUIRE(Line);
    const auto Port = static_cast<std::uint16_t>(
        std::stoi(Line->substr(Line->find("http=") + 5)));
    // A host with the right key is ready well within this timeout.
    const bool Joined = waitUntil(
        [&] { return httpCall(Port, "GET", "/readyz").m_Status == 200; },
        std::chrono::seconds(3));
    BOOST_TEST(Joined == SameKey);
    BOOST_TEST(contains(System.status(0), "stranger") == SameKey);
    BOOST_TEST(httpCall(Port, "GET", "/healthz").m_Status == 200);
  }
}

BOOST_AUTO_TEST_CASE(RejectsInvalidAnnouncements) {
  Cluster System({3, 0, {}, {}});
  BOOST_REQUIRE(System.start());
  const auto Announce = [&](const std::string &Body) {
    return httpCall(System.httpPort(0), "POST", "/v1/announce", Body, "")
        .m_Status;
  };
  for (const AnnouncementFault &Fault : AnnouncementFaults) {
    BOOST_TEST_CONTEXT(Fault.m_Member << " " << Fault.m_Value) {
      BOOST_TEST(Announce(announcement(Fault.m_Member, Fault.m_Value)) == 400);
    }
  }
  const std::string Valid = announcement("leaving", "false");
  for (const std::string &Body :
       {std::string(), std::string("[]"), std::string("{\"group\""),
        Valid.substr(0, Valid.size() - 1), Valid + "x", std::string(200, '['),
        std::string("\xff\xfe\0", 3)}) {
    BOOST_TEST(Announce(Body) == 400, Body);
  }
  const int Large = Announce(std::string(1U << 20U, 'x'));
  BOOST_TEST((Large >= 400 && Large < 500), Large);
  BOOST_TEST(!contains(System.status(0), "o-1"));
  BOOST_TEST(Announce(Valid) == 202);
  BOOST_TEST(waitUntil([&] { return contains(System.status(1), "o-1"); }));
}

BOOST_AUTO_TEST_CASE(HealthReadinessAndMetricsNeedNoToken) {
  Cluster System({3, 0, {}, {}});
  BOOST_REQUIRE(System.start());
  for (const auto &[Path, Part] :
       {std::pair{"/healthz", "alive"}, std::pair{"/readyz", "ready"},
        std::pair{"/metrics", "ragwortmux_catalogue_revision 4"},
        std::pair{"/metrics", "# TYPE"}}) {
    const auto Answer = httpCall(System.httpPort(1), "GET", Path, "", "");
    BOOST_TEST(Answer.m_Status == 200);
    BOOST_TEST(contains(Answer.m_Body, Part), Answer.m_Body);
  }
  // Alive but not ready: without the other hosts there is no catalogue.
  System.host(0).kill();
  System.host(1).kill();
  System.host(2).kill();
  System.startHost(1);
  BOOST_TEST(httpCall(System.httpPort(1), "GET", "/healthz").m_Status == 200);
  BOOST_TEST(httpCall(System.httpPort(1), "GET", "/readyz").m_Status == 503);
}

BOOST_AUTO_TEST_CASE(ReportsAllInvalidSettings) {
  const auto Result = runCommand(
      {"serve", "--host=Not A Name", "--caller_port=70000", "--lease_ms=5",
       "--roles=king", "--control_peers=nowhere", "--no_such_flag=1"},
      {{"RAGWORTMUX_CLUSTER_KEY", "short-key"},
       {"RAGWORTMUX_OPERATOR_TOKEN", ""}});
  BOOST_TEST(Result.m_ExitStatus == 2);
  for (const char *ExpectedText :
       {"host", "Not A Name", "caller_port", "70000", "lease_ms", "roles",
        "king", "control_peers", "no_such_flag", "failure_domain",
        "RAGWORTMUX_CLUSTER_KEY", "RAGWORTMUX_OPERATOR_TOKEN", "401"}) {
    BOOST_TEST(contains(Result.m_Output, ExpectedText), ExpectedText);
  }
  // The output must not contain a secret, not even an invalid one.
  BOOST_TEST(!contains(Result.m_Output, "short-key"));
}

BOOST_AUTO_TEST_CASE(CommandsReturnExpectedExitStatus) {
  Cluster System;
  BOOST_REQUIRE(System.start());
  const std::string Http =
      "--at=127.0.0.1:" + std::to_string(System.httpPort(2));
  const std::string Sql =
      "--at=127.0.0.1:" + std::to_string(System.callerPort(2));
  const Arguments Put = {"catalogue",
                         "put",
                         Http,
                         "--name=new",
                         "--group=ledger",
                         "--owner=o",
                         "--class=write",
                         "--operator=kim"};
  const std::vector<CommandCase> Cases = {
      {Put, 0, "5"},
      {Put, 1, "403"},
      {{"catalogue", "get", "new", Http}, 0, "ledger"},
      {{"catalogue", "get", "none", Http}, 1, "405"},
      {{"catalogue", "list", Http}, 0, "bookings"},
      {{"catalogue", "history", "new", Http}, 0, "kim"},
      {{"catalogue", "delete", "new", Http, "--expect_revision=3",
        "--operator=kim"},
       1,
       "403"},
      {{"catalogue", "delete", "new", Http, "--expect_revision=5",
        "--operator=kim"},
       0,
       ""},
      {{"catalogue", "delete", "new", Http}, 2, "expect_revision"},
      {{"catalogue", "put", Http}, 2, "owner"},
      {{"catalogue", "list", "--at=127.0.0.1:1"}, 1, "408"},
      {{"status", Http}, 0, "in-sync"},
      {{"sql", "bookings", "INSERT INTO hires VALUES ('c', 'd')", Sql}, 0, ""},
      {{"sql", "stock", "SELECT 'shown'", Sql}, 0, "shown"},
      {{"sql", "none", "SELECT 1", Sql}, 1, "108"},
      {{"timeline", "/nonexistent"}, 1, "/nonexistent"},
      {{"no-such-command"}, 2, "402"},
      {{"--version"}, 0, ""},
      {{"drain", Http}, 0, ""}};
  for (const CommandCase &Case : Cases) {
    const auto Result = runCommand(Case.m_Arguments);
    BOOST_TEST_CONTEXT(Case.m_Arguments[0] << " " << Case.m_Arguments.back()
                                           << ": " << Result.m_Output) {
      BOOST_TEST(Result.m_ExitStatus == Case.m_ExitStatus);
      BOOST_TEST(contains(Result.m_Output, Case.m_ExpectedOutput));
    }
  }
  BOOST_TEST(System.countCommits("'c'") == 1U);
  const auto WaitStatus = System.host(2).waitForExit();
  BOOST_TEST(
      (WaitStatus && WIFEXITED(*WaitStatus) && WEXITSTATUS(*WaitStatus) == 0));
}

// A key in an argument could be read by every user of the machine.
BOOST_AUTO_TEST_CASE(WorkspaceCommandsReadKeysFromEnvironment) {
  Cluster System({3, 0, {}, {}});
  BOOST_REQUIRE(System.start());
  const std::string Http =
      "--at=127.0.0.1:" + std::to_string(System.httpPort(2));
  const std::string Key = "secret-of-alpha-4711";
  Environment Variables = Secrets;
  Variables["ALPHA_KEY"] = Key;
  Variables["TWO_KEYS"] = "first-key\nsecond-key";
  const std::vector<CommandCase> Cases = {
      {{"workspace", "put", "alpha", Http, "--rate_per_s=50", "--burst=7",
        "--operator=kim"},
       0,
       "\"revision\":5"},
      {{"workspace", "put", "alpha", Http}, 1, "403"},
      {{"workspace", "add-key", "alpha", Http, "--key_from=env:ALPHA_KEY",
        "--expect_revision=5"},
       0,
       "\"revision\":6"},
      {{"workspace", "add-key", "alpha", Http, "--key_from=env:TWO_KEYS",
        "--expect_revision=6"},
       2,
       "several keys"},
      {{"workspace", "add-key", "alpha", Http, "--key_from=env:NOT_SET",
        "--expect_revision=6"},
       2,
       "not set"},
      {{"workspace", "show", "alpha", Http}, 0, "\"rate_per_s\":50"},
      {{"workspace", "show", "none", Http}, 1, "405"},
      {{"workspace", "set-limit", "alpha", Http, "--rate_per_s=9",
        "--expect_revision=6"},
       0,
       "\"revision\":7"},
      {{"workspace", "list", Http}, 0, "\"rate_per_s\":9"},
      {{"workspace", "remove-key", "alpha", Http, "--key_from=env:ALPHA_KEY",
        "--expect_revision=7"},
       0,
       "\"revision\":8"},
      {{"workspace", "show", "alpha", Http}, 0, "\"keys\":[]"},
      {{"workspace", "delete", "alpha", Http, "--expect_revision=8"},
       0,
       "\"revision\":9"},
      {{"workspace", "list", Http}, 0, "\"total\":0"}};
  for (const CommandCase &Case : Cases) {
    const auto Result = runCommand(Case.m_Arguments, Variables);
    BOOST_TEST_CONTEXT(Case.m_Arguments[1] << " " << Case.m_Arguments.back()
                                           << ": " << Result.m_Output) {
      BOOST_TEST(Result.m_ExitStatus == Case.m_ExitStatus);
      BOOST_TEST(contains(Result.m_Output, Case.m_ExpectedOutput));
      BOOST_TEST(!contains(Result.m_Output, Key));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
