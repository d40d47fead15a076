#include "WireFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace ragwortmux::platform {

namespace {

/// The configuration of the fixture with workspaces, whose text is the rest of
/// the object.
std::string keyedConfiguration(int Version, const std::string &Tenants) {
  std::string Text = configuration(Version);
  Text.replace(Text.rfind('}'), 1, R"(,"tenants":[)" + Tenants + "]}");
  return Text;
}

constexpr const char *TwoTenants =
    R"({"name":"north","apiKeys":["key-of-north-1","key-of-north-2"]},)"
    R"({"name":"south","apiKeys":["key-of-south"],"ratePerS":0,"burst":0})";

/// Processes whose configuration has two workspaces.
struct KeyedFixture : WireFixture {
  KeyedFixture() {
    BOOST_REQUIRE_EQUAL(replace(2, keyedConfiguration(2, TwoTenants)), 200);
    BOOST_REQUIRE(waitUntil([&] {
      return WireCaller(m_CallerPort, "booking")
          .m_Greeting.starts_with("ERROR");
    }));
  }

  WireCaller caller(const std::string &Key,
                    const std::string &Database = "booking") const {
    return {m_CallerPort, Database, "127.0.0.2", Key};
  }

  /// Who the connections spoke for that ran the statements with \p Text.
  std::vector<std::string> speakersOf(const std::string &Text) const {
    std::vector<std::string> Found;
    for (const auto &Server : m_Servers) {
      const auto Statements = Server->executedStatements();
      const auto Speakers = Server->speakers();
      const std::size_t Count = std::min(Statements.size(), Speakers.size());
      for (std::size_t Index = 0; Index < Count; ++Index) {
        if (Statements[Index].find(Text) != std::string::npos)
          Found.push_back(Speakers[Index]);
      }
    }
    return Found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkspaceEndToEndTest, KeyedFixture)

// Guards against a backend server that is told a key or another workspace, and
// against a connection that serves two workspaces.
BOOST_AUTO_TEST_CASE(ServersAreToldTheWorkspaceOfTheKey) {
  WireCaller North = caller("key-of-north-2");
  WireCaller South = caller("key-of-south");
  for (const char *Item : {"n1", "n2", "n3"}) {
    BOOST_REQUIRE(waitUntil(
        [&] { return North.succeeds(std::string("WRITE ") + Item + " x"); }));
    BOOST_TEST(South.succeeds("WRITE s" + std::string(Item) + " x"));
  }
  BOOST_TEST(North.succeeds("BEGIN"));
  BOOST_TEST(North.succeeds("WRITE n4 x"));
  BOOST_TEST(South.succeeds("READ sn1"));
  BOOST_TEST(North.succeeds("COMMIT"));
  for (const std::string &Speaker : speakersOf("WRITE n"))
    BOOST_TEST(Speaker == "north");
  for (const std::string &Speaker : speakersOf("WRITE sn"))
    BOOST_TEST(Speaker == "south");
  BOOST_TEST(speakersOf("WRITE n").size() >= 4U);
  BOOST_TEST(speakersOf("WRITE sn").size() >= 3U);
  BOOST_TEST(m_Entry->errors().find("key-of-") == std::string::npos);
}

// Guards against callers without a valid key.
BOOST_AUTO_TEST_CASE(UnknownKeyIsRefusedAtOnce) {
  BOOST_TEST(caller("nobody").m_Greeting.starts_with("ERROR UNAUTH 118 "));
  BOOST_TEST(caller("north").m_Greeting.starts_with("ERROR UNAUTH"));
  BOOST_TEST(caller("").m_Greeting.starts_with("ERROR UNAUTH"));
  BOOST_TEST(caller("nobody", "nothing").m_Greeting.starts_with("ERROR NODB"));
}

// Guards against an acknowledged configuration in which a key is ambiguous.
BOOST_AUTO_TEST_CASE(SharedKeyIsRefused) {
  const std::string Shared = R"({"name":"a","apiKeys":["k"]},)"
                             R"({"name":"b","apiKeys":["k"]})";
  BOOST_TEST(replace(3, keyedConfiguration(3, Shared)) == 400);
  BOOST_TEST(replace(3, keyedConfiguration(3, R"({"name":"a"})")) == 400);
  BOOST_TEST(caller("key-of-south").m_Greeting == "READY I -");
}

// Guards against callers who go on with a key that was taken away: idle, in a
// transaction, and as the last key of a workspace.
BOOST_AUTO_TEST_CASE(RemovedKeyEndsSessions) {
  WireCaller Idle = caller("key-of-north-1");
  WireCaller Other = caller("key-of-north-2");
  WireCaller InTransaction = caller("key-of-south");
  BOOST_REQUIRE(waitUntil([&] { return Idle.succeeds("READ a"); }));
  BOOST_REQUIRE(InTransaction.succeeds("BEGIN"));
  BOOST_REQUIRE(InTransaction.succeeds("WRITE t1 x"));
  const std::string OneKey = R"({"name":"north","apiKeys":["key-of-north-2"]},)"
                             R"({"name":"south","apiKeys":[]})";
  BOOST_REQUIRE_EQUAL(replace(3, keyedConfiguration(3, OneKey)), 200);
  BOOST_REQUIRE(waitUntil(
      [&] { return caller("key-of-south").m_Greeting.starts_with("ERROR"); }));
  const auto Refused = Idle.execute("READ a");
  BOOST_REQUIRE_EQUAL(Refused.size(), 2U);
  BOOST_TEST(Refused[0].starts_with("ERROR UNAUTH 118 "));
  BOOST_TEST(Refused[1] == "READY I -");
  BOOST_TEST(!Idle.m_Socket->readLine()); // closed
  const auto Commit = InTransaction.execute("COMMIT");
  BOOST_REQUIRE_EQUAL(Commit.size(), 2U);
  BOOST_TEST(Commit[0].starts_with("ERROR UNAUTH"));
  BOOST_TEST(Other.succeeds("READ t1"));
  BOOST_TEST(Other.execute("READ t1").front() == "ROW ");
}

// Guards against a host that takes a key for unknown because it lacks the
// change that added it.
BOOST_AUTO_TEST_CASE(HostWithoutLeaseDoesNotCallKeysUnknown) {
  WireCaller Known = caller("key-of-south");
  BOOST_REQUIRE(waitUntil([&] { return Known.succeeds("WRITE a x"); }));
  m_Control->kill();
  BOOST_TEST(waitUntil([&] {
    return caller("key-of-new").m_Greeting.starts_with("ERROR BUSY 107 ");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
