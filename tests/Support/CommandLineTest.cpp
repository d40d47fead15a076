#include "ragwortmux/Process/Support/CommandLine.h"
#include "ragwortmux/Process/Support/SettingTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

using Arguments = std::vector<std::string>;

const std::string ValidRequestKey = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

/// A command line and the names of its expected faults.
struct CommandLineCase final {
  Arguments m_CommandLine;
  std::vector<std::string> m_Faults;
};

std::ostream &operator<<(std::ostream &Stream, const CommandLineCase &Case) {
  for (const std::string &Argument : Case.m_CommandLine)
    Stream << Argument << ' ';
  return Stream;
}

/// `catalogue put` with the required flags and one more.
Arguments put(const std::string &Flag) {
  return {"catalogue",         "put", "--name=a", "--group=g", "--owner=o",
          "--class=aged-read", Flag};
}

const std::vector<CommandLineCase> CommandLineCases = {
    {{}, {"command"}},
    {{"frobnicate"}, {"command"}},
    {{"catalogue"}, {"command"}},
    {{"catalogue", "rename"}, {"command"}},
    {{"--at=1.2.3.4:5", "status"}, {"command"}},
    {{"status", "--at=somewhere:80"}, {"--at"}},
    {{"status", "--at=1.2.3.4:0"}, {"--at"}},
    {{"status", "--at", "[::1]:80"}, {}},
    {{"status", "--at=::1:80"}, {"--at"}},
    {{"status", "--at"}, {"--at"}},
    {{"status", "more"}, {"argument"}},
    {{"status", "--name=a"}, {"--name"}},
    {{"drain"}, {}},
    {{"drain", "-x"}, {"argument"}},
    {{"catalogue", "put"}, {"--name", "--group", "--owner", "--class"}},
    {put("--max_concurrent=1001"), {"--max_concurrent"}},
    {put("--max_queued=-1"), {"--max_queued"}},
    {put("--deadline_ms=9"), {"--deadline_ms"}},
    {put("--max_answer_bytes=1"), {"--max_answer_bytes"}},
    {put("--max_age_ms=86400001"), {"--max_age_ms"}},
    {put("--max_age_ms=86400000"), {}},
    {put("--expect_revision=x"), {"--expect_revision"}},
    {put("--change_id="), {"--change_id"}},
    {put("--class=other"), {"--class"}},
    {put("--class=booking"), {}},
    {{"catalogue", "put", "--name=a", "--group=g", "--owner=o", "--class=write",
      "--max_age_ms=1"},
     {"--max_age_ms"}},
    {{"catalogue", "get"}, {"NAME"}},
    {{"catalogue", "get", "A"}, {"NAME"}},
    {{"catalogue", "get", "a", "b"}, {"argument"}},
    {{"catalogue", "history"}, {"NAME"}},
    {{"catalogue", "list", "a"}, {"argument"}},
    {{"catalogue", "delete", "a"}, {"--expect_revision"}},
    {{"catalogue", "delete", "a", "--expect_revision=0"},
     {"--expect_revision"}},
    {put("--requires_key"), {}},
    {put("--requires_key=perhaps"), {"--requires_key"}},
    {{"workspace"}, {"command"}},
    {{"workspace", "list"}, {}},
    {{"workspace", "list", "a"}, {"argument"}},
    {{"workspace", "show"}, {"NAME"}},
    {{"workspace", "show", "two words"}, {"NAME"}},
    {{"workspace", "show",
      "\xc3\x85"
      "ngstr\xc3\xb6m"},
     {}},
    {{"workspace", "put", "a"}, {}},
    {{"workspace", "put", "a", "--rate_per_s=4294967296"}, {"--rate_per_s"}},
    {{"workspace", "put", "a", "--burst=x"}, {"--burst"}},
    {{"workspace", "put", "a", "--key_from=stdin"}, {}},
    {{"workspace", "put", "a", "--key_from=env:"}, {"--key_from"}},
    {{"workspace", "put", "a", "--key_from=a-key"}, {"--key_from"}},
    {{"workspace", "add-key", "a"}, {"--expect_revision"}},
    {{"workspace", "add-key", "a", "--expect_revision=1"}, {}},
    {{"workspace", "add-key", "a", "a-key", "--expect_revision=1"},
     {"argument"}},
    {{"workspace", "remove-key", "a", "--expect_revision=1"}, {}},
    {{"workspace", "remove-key", "a", "--expect_revision=1",
      "--digest=0123abcd"},
     {}},
    {{"workspace", "remove-key", "a", "--expect_revision=1",
      "--digest=0123abc"},
     {"--digest"}},
    {{"workspace", "remove-key", "a", "--expect_revision=1",
      "--digest=0123abcd", "--key_from=stdin"},
     {"--digest"}},
    {{"workspace", "set-limit", "a", "--expect_revision=1"}, {"--rate_per_s"}},
    {{"workspace", "set-limit", "a", "--expect_revision=1", "--rate_per_s=-1"},
     {"--rate_per_s"}},
    {{"workspace", "delete", "a"}, {"--expect_revision"}},
    {{"timeline"}, {"DIR"}},
    {{"timeline", "d", "--kind=party"}, {"--kind"}},
    {{"timeline", "d", "--group="}, {"--group"}},
    {{"sql", "a"}, {"TEXT"}},
    {{"sql"}, {"ENTRY", "TEXT"}},
    {{"sql", "A", "SELECT 1"}, {"ENTRY"}},
    {{"sql", "a", "SELECT 1", "--request_key=1"}, {"--request_key"}},
    {{"sql", "a", "SELECT 1", "--request_key=" + ValidRequestKey}, {}},
    {{"sql", "a", "SELECT 1", "--max_age_ms=1s"}, {"--max_age_ms"}},
};

template <typename CommandType> CommandType parseAs(const Arguments &Given) {
  std::vector<SettingFault> Faults;
  const std::optional<Command> Parsed = parseCommandLine(Given, Faults);
  BOOST_TEST_REQUIRE(Parsed.has_value(), describeAll(Faults));
  const CommandType *Result = std::get_if<CommandType>(&*Parsed);
  BOOST_TEST_REQUIRE(Result != nullptr);
  return *Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLineTest)

BOOST_DATA_TEST_CASE(InvalidArgumentsAreReportedByName,
                     boost::unit_test::data::make(CommandLineCases), Case) {
  std::vector<SettingFault> Faults;
  const std::optional<Command> Parsed =
      parseCommandLine(Case.m_CommandLine, Faults);
  BOOST_TEST(Parsed.has_value() == Case.m_Faults.empty());
  std::vector<std::string> Names;
  for (const SettingFault &Fault : Faults) {
    Names.push_back(Fault.m_Name);
    BOOST_TEST(describe(Fault).starts_with("402 bad-argument: "));
  }
  BOOST_TEST(Names == Case.m_Faults, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ServePassesArgumentsThroughUnchanged) {
  const Arguments Expected = {"--host=a", "--nonsense"};
  BOOST_TEST(
      parseAs<ServeCommand>({"serve", "--host=a", "--nonsense"}).m_Arguments ==
      Expected);
  BOOST_TEST(parseAs<CheckSettingsCommand>(
                 {"check-settings", "--host=a", "--nonsense"})
                 .m_Arguments == Expected);
}

BOOST_AUTO_TEST_CASE(CataloguePutReadsEveryFlag) {
  const auto Parsed = parseAs<CatalogueCommand>(
      {"catalogue", "put", "--at=10.0.0.1:81", "--name=a", "--group=g",
       "--owner=Haddow & Sons", "--class=aged-read", "--max_concurrent=1",
       "--max_queued=2", "--deadline_ms=30", "--max_answer_bytes=4096",
       "--max_age_ms=50", "--expect_revision=6", "--change_id=c",
       "--operator=kim"});
  BOOST_TEST((Parsed.m_Action == CatalogueAction::Put));
  BOOST_TEST((Parsed.m_Target == SocketAddress{"10.0.0.1", 81}));
  const CatalogueEntry Expected{EntryName("a"),
                                GroupId("g"),
                                OwnerId("Haddow & Sons"),
                                TrafficClass::AgedRead,
                                {1, 2, 30ms, 4096, 50ms}};
  BOOST_TEST((Parsed.m_Entry == Expected));
  BOOST_TEST((Parsed.m_ExpectRevision == Revision(6)));
  BOOST_TEST(Parsed.m_Change.value() == "c");
  BOOST_TEST(Parsed.m_Operator == "kim");
}

BOOST_AUTO_TEST_CASE(CatalogueListGetHistoryAndDeleteAreParsed) {
  const auto Listed = parseAs<CatalogueCommand>({"catalogue", "list"});
  BOOST_TEST((Listed.m_Action == CatalogueAction::List));
  BOOST_TEST((Listed.m_Target == SocketAddress{"127.0.0.1", 8080}));
  const auto Got = parseAs<CatalogueCommand>({"catalogue", "get", "a"});
  BOOST_TEST((Got.m_Action == CatalogueAction::Get));
  BOOST_TEST(Got.m_Entry.m_Name.value() == "a");
  const auto History = parseAs<CatalogueCommand>({"catalogue", "history", "a"});
  BOOST_TEST((History.m_Action == CatalogueAction::History));
  const auto Deleted = parseAs<CatalogueCommand>(
      {"catalogue", "delete", "a", "--expect_revision=6"});
  BOOST_TEST((Deleted.m_Action == CatalogueAction::Delete));
  BOOST_TEST((Deleted.m_ExpectRevision == Revision(6)));
}

BOOST_AUTO_TEST_CASE(WorkspaceCommandsReadEveryFlag) {
  const auto Put = parseAs<WorkspaceCommand>(
      {"workspace", "put", "a", "--rate_per_s=50", "--burst=7",
       "--key_from=env:KEYS", "--expect_revision=6", "--change_id=c",
       "--operator=kim", "--at=10.0.0.1:81"});
  BOOST_TEST((Put.m_Edit.m_Action == WorkspaceAction::Put));
  BOOST_TEST((Put.m_Edit.m_Limit == WorkspaceLimit{50, 7}));
  BOOST_TEST(Put.m_Name.value() == "a");
  BOOST_TEST(Put.m_KeySource.m_IsGiven);
  BOOST_TEST(Put.m_KeySource.m_Variable == "KEYS");
  BOOST_TEST((Put.m_ExpectRevision == Revision(6)));
  BOOST_TEST(Put.m_Change.value() == "c");
  BOOST_TEST(Put.m_Operator == "kim");
  BOOST_TEST((Put.m_Target == SocketAddress{"10.0.0.1", 81}));
  BOOST_TEST(!parseAs<WorkspaceCommand>({"workspace", "put", "a"})
                  .m_KeySource.m_IsGiven);
  // Adding or removing a key reads it from standard input by default.
  for (const char *Action : {"add-key", "remove-key"}) {
    const auto Parsed = parseAs<WorkspaceCommand>(
        {"workspace", Action, "a", "--expect_revision=1"});
    BOOST_TEST((parseWorkspaceAction(Action) == Parsed.m_Edit.m_Action));
    BOOST_TEST(Parsed.m_KeySource.m_IsGiven);
    BOOST_TEST(Parsed.m_KeySource.m_Variable == "");
  }
  const auto Removed =
      parseAs<WorkspaceCommand>({"workspace", "remove-key", "a",
                                 "--expect_revision=1", "--digest=0123abcd"});
  BOOST_TEST(!Removed.m_KeySource.m_IsGiven);
  BOOST_TEST(Removed.m_Edit.m_KeyDigest == "0123abcd");
}

BOOST_AUTO_TEST_CASE(TimelineReadsPathsAndFilter) {
  const auto Parsed =
      parseAs<TimelineCommand>({"timeline", "d1", "--request=r", "--group=g",
                                "--kind=term-ended", "d2"});
  BOOST_TEST(Parsed.m_Paths.size() == 2U);
  BOOST_TEST((Parsed.m_Filter.m_Request == "r"));
  BOOST_TEST((Parsed.m_Filter.m_Group == GroupId("g")));
  BOOST_TEST((Parsed.m_Filter.m_Kind == EventKind::TermEnded));
  const auto All = parseAs<TimelineCommand>({"timeline", "d"});
  BOOST_TEST((!All.m_Filter.m_Request && !All.m_Filter.m_Group &&
              !All.m_Filter.m_Kind));
}

BOOST_AUTO_TEST_CASE(SqlReadsEveryFlagAndTextAfterDoubleDash) {
  const auto Parsed = parseAs<SqlCommand>(
      {"sql", "--session=s", "--token=t", "--request_key=" + ValidRequestKey,
       "--max_age_ms=0", "--", "a", "--help"});
  BOOST_TEST((Parsed.m_Target == SocketAddress{"127.0.0.1", 6432}));
  BOOST_TEST(Parsed.m_Entry.value() == "a");
  BOOST_TEST(Parsed.m_Text == "--help");
  BOOST_TEST(Parsed.m_Session.value() == "s");
  BOOST_TEST(Parsed.m_Token == "t");
  BOOST_TEST(Parsed.m_RequestKey.value() == ValidRequestKey);
  BOOST_TEST((Parsed.m_MaxAge == Duration(0)));
}

BOOST_AUTO_TEST_CASE(EveryCommandHasHelpAndVersion) {
  const std::vector<Arguments> Commands = {{"serve"},
                                           {"check-settings"},
                                           {"catalogue", "put"},
                                           {"catalogue", "get"},
                                           {"catalogue", "list"},
                                           {"catalogue", "delete"},
                                           {"catalogue", "history"},
                                           {"workspace", "list"},
                                           {"workspace", "show"},
                                           {"workspace", "put"},
                                           {"workspace", "delete"},
                                           {"workspace", "add-key"},
                                           {"workspace", "remove-key"},
                                           {"workspace", "set-limit"},
                                           {"status"},
                                           {"drain"},
                                           {"timeline"},
                                           {"sql"}};
  const std::string General = parseAs<HelpCommand>({"--help"}).m_Text;
  for (const Arguments &Words : Commands) {
    const std::string Name =
        Words.size() == 1 ? Words[0] : Words[0] + " " + Words[1];
    BOOST_TEST(General.find("  " + Name + " ") != std::string::npos, Name);
    Arguments Given = Words;
    Given.emplace_back("--help");
    BOOST_TEST(parseAs<HelpCommand>(Given).m_Text.starts_with(
        "usage: ragwortmux " + Name));
    Given.back() = "--version";
    parseAs<VersionCommand>(Given);
  }
  const std::string Serve = parseAs<HelpCommand>({"serve", "--help"}).m_Text;
  for (const SettingInfo &Info : allSettings())
    BOOST_TEST(Serve.find("--" + std::string(Info.m_Name) + ":") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(SecretsNeverAppearInFaults) {
  const std::string Token = "token-0123456789-abcdef";
  const std::vector<Arguments> Mistakes = {
      {"status", "--operator_token=" + Token},
      {"status", "--operator_token", Token},
      {"--operator_token=" + Token, "status"},
      {"catalogue", "get", "a", "--token", Token},
      {"workspace", "add-key", "a", Token, "--expect_revision=1"},
      {"workspace", "add-key", "a", "--key=" + Token, "--expect_revision=1"},
      {"workspace", "put", "a", "--key_from=" + Token},
      {"workspace", "remove-key", "a", "--digest=" + Token,
       "--expect_revision=1"}};
  for (const Arguments &Mistake : Mistakes) {
    std::vector<SettingFault> Faults;
    BOOST_TEST(!parseCommandLine(Mistake, Faults).has_value());
    BOOST_TEST(describeAll(Faults).find(Token) == std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
