#include "ragwortmux/Process/Control/ControlNodeOwner.h"
#include "ragwortmux/Process/Control/ControlNode.h"
#include "tests/Log/FakeDisk.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Address = "127.0.0.1:1";

/// A control node with a log of a single voter, on a disk with injectable
/// failures.
struct Fixture {
  Fixture() : m_Owner([this] { return makeNode(); }) {
    BOOST_REQUIRE(m_Owner.open(m_Now));
    PeerIdentity Self;
    Self.m_Voter = VoterId(m_Owner.node().identify().m_Voter);
    Self.m_Address = Address;
    Self.m_IsListed = true;
    m_Owner.node().peersIdentified(m_Now, {Self}, true);
    advance(seconds(2));
  }

  std::unique_ptr<ControlNode> makeNode() {
    LogStorageSettings Storage;
    Storage.m_ClusterName = "test";
    Storage.m_Random = [this] { return ++m_Random; };
    ControlNodeSettings Settings;
    Settings.m_Address = Address;
    Settings.m_Bootstrap = true;
    Settings.m_Log.m_Random = [this] { return ++m_Random; };
    ControlNodeHooks Hooks;
    Hooks.m_SendLog = [](const std::string &, const LogEnvelope &) {};
    Hooks.m_Push = [](ControlSessionId, const ControlUpdate &) {};
    Hooks.m_CallBackend = [](const CallBackend &) {};
    Hooks.m_WriteTimeline = [](const std::string &) {};
    Hooks.m_LeadershipChanged = [this](bool Leads) { m_IsLeader = Leads; };
    return std::make_unique<ControlNode>(
        std::move(Settings),
        std::make_unique<LogStorage>(std::move(Storage),
                                     std::make_unique<FakeFileSystem>(m_Disk)),
        std::move(Hooks));
  }

  /// Advances the time by \p Length in steps of 10 ms.
  void advance(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End;
         m_Now += milliseconds(10)) {
      m_Owner.tick(m_Now);
      m_Owner.node().tick(m_Now, WallTime(milliseconds(1)));
    }
  }

  /// Replaces the catalogue; true if the command is acknowledged.
  bool replaceCatalogue(std::uint64_t Version) {
    bool Done = false;
    ReplaceCatalogue Command;
    Command.m_Version = CatalogueVersion(Version);
    Command.m_Document = std::to_string(Version);
    m_Owner.node().command(m_Now, Command, [&Done](const CommandReply &Reply) {
      Done = Reply.m_Status.ok() && Reply.m_Result.ok();
    });
    return Done;
  }

  std::string catalogue() {
    return m_Owner.node().state().catalogue().document();
  }

  Instant m_Now{std::chrono::hours(1)};
  std::uint64_t m_Random = 0;
  bool m_IsLeader = false;
  std::shared_ptr<FakeDisk> m_Disk = std::make_shared<FakeDisk>();
  ControlNodeOwner m_Owner;
};

struct FaultCase final {
  const char *m_Name;                ///< Description of the failure.
  void (*m_Fail)(FakeDisk &Disk);    ///< Injects the failure.
  void (*m_Recover)(FakeDisk &Disk); ///< Removes the failure.

  friend std::ostream &operator<<(std::ostream &Stream, const FaultCase &Case) {
    return Stream << Case.m_Name;
  }
};

constexpr auto UnlimitedBytes = std::numeric_limits<std::uint64_t>::max();

const std::vector<FaultCase> Faults = {
    {"the disk is full", [](FakeDisk &Disk) { Disk.m_FreeBytes = 0; },
     [](FakeDisk &Disk) { Disk.m_FreeBytes = UnlimitedBytes; }},
    {"a record fits only in part", [](FakeDisk &Disk) { Disk.m_FreeBytes = 9; },
     [](FakeDisk &Disk) { Disk.m_FreeBytes = UnlimitedBytes; }},
    {"writes fail", [](FakeDisk &Disk) { Disk.injectFailure(0, false); },
     [](FakeDisk &Disk) { Disk.clearFault(); }},
    {"a write takes effect but reports a failure",
     [](FakeDisk &Disk) { Disk.injectFailure(0, true); },
     [](FakeDisk &Disk) { Disk.clearFault(); }},
    {"a sync fails", [](FakeDisk &Disk) { Disk.injectFailure(1, false); },
     [](FakeDisk &Disk) { Disk.clearFault(); }}};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeOwnerTest)

BOOST_DATA_TEST_CASE(VoterRecoversAfterDiskFailure,
                     boost::unit_test::data::make(Faults), Case) {
  Fixture Host;
  BOOST_REQUIRE(Host.m_IsLeader);
  BOOST_REQUIRE(Host.replaceCatalogue(2));
  const std::string Voter = Host.m_Owner.node().identify().m_Voter;
  Case.m_Fail(*Host.m_Disk);
  BOOST_TEST(!Host.replaceCatalogue(3));
  BOOST_TEST(Host.m_Owner.node().hasFailed());
  Host.advance(seconds(3));
  BOOST_TEST(!Host.m_IsLeader);
  Case.m_Recover(*Host.m_Disk);
  Host.advance(seconds(3));
  BOOST_TEST(Host.m_IsLeader);
  BOOST_TEST(Host.m_Owner.node().identify().m_Voter == Voter);
  // The unacknowledged change is lost, because it may not have been durable.
  BOOST_TEST(Host.catalogue() == "2");
  BOOST_TEST(Host.replaceCatalogue(4));
}

BOOST_AUTO_TEST_SUITE_END()
