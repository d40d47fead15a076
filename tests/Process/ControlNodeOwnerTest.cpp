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

/// A log of one voter on a disk that fails when told to.
struct Fixture {
  Fixture() : m_Owner([this] { return make(); }) {
    BOOST_REQUIRE(m_Owner.open(m_Now));
    IdentifiedPeer Self;
    Self.m_Voter = VoterId(m_Owner.node().identify().m_Voter);
    Self.m_Address = Address;
    Self.m_IsListed = true;
    m_Owner.node().peersIdentified(m_Now, {Self}, true);
    pass(seconds(2));
  }

  std::unique_ptr<ControlNode> make() {
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
    Hooks.m_LeadershipChanged = [this](bool Leads) { m_Leads = Leads; };
    return std::make_unique<ControlNode>(
        std::move(Settings),
        std::make_unique<LogStorage>(std::move(Storage),
                                     std::make_unique<FakeFileSystem>(m_Disk)),
        std::move(Hooks));
  }

  void pass(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End;
         m_Now += milliseconds(10)) {
      m_Owner.tick(m_Now);
      m_Owner.node().tick(m_Now, WallTime(milliseconds(1)));
    }
  }

  /// Replaces the catalogue; true if that was acknowledged.
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
  bool m_Leads = false;
  std::shared_ptr<FakeDisk> m_Disk = std::make_shared<FakeDisk>();
  ControlNodeOwner m_Owner;
};

struct FaultCase final {
  const char *m_Name;                ///< What the disk does.
  void (*m_Fail)(FakeDisk &Disk);    ///< Makes it fail.
  void (*m_Recover)(FakeDisk &Disk); ///< Ends that.

  friend std::ostream &operator<<(std::ostream &Stream, const FaultCase &Case) {
    return Stream << Case.m_Name;
  }
};

constexpr auto Plenty = std::numeric_limits<std::uint64_t>::max();

const std::vector<FaultCase> Faults = {
    {"the disk is full", [](FakeDisk &Disk) { Disk.m_FreeBytes = 0; },
     [](FakeDisk &Disk) { Disk.m_FreeBytes = Plenty; }},
    {"a record does not fit whole",
     [](FakeDisk &Disk) { Disk.m_FreeBytes = 9; },
     [](FakeDisk &Disk) { Disk.m_FreeBytes = Plenty; }},
    {"writes fail", [](FakeDisk &Disk) { Disk.failLater(0, false); },
     [](FakeDisk &Disk) { Disk.clearFault(); }},
    {"a write takes effect and fails",
     [](FakeDisk &Disk) { Disk.failLater(0, true); },
     [](FakeDisk &Disk) { Disk.clearFault(); }},
    {"a sync fails", [](FakeDisk &Disk) { Disk.failLater(1, false); },
     [](FakeDisk &Disk) { Disk.clearFault(); }}};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeOwnerTest)

BOOST_DATA_TEST_CASE(AVoterComesBackAfterItsDiskHasFailed,
                     boost::unit_test::data::make(Faults), Case) {
  Fixture Host;
  BOOST_REQUIRE(Host.m_Leads);
  BOOST_REQUIRE(Host.replaceCatalogue(2));
  const std::string Voter = Host.m_Owner.node().identify().m_Voter;
  Case.m_Fail(*Host.m_Disk);
  BOOST_TEST(!Host.replaceCatalogue(3));
  BOOST_TEST(Host.m_Owner.node().hasFailed());
  Host.pass(seconds(3));
  BOOST_TEST(!Host.m_Leads);
  Case.m_Recover(*Host.m_Disk);
  Host.pass(seconds(3));
  BOOST_TEST(Host.m_Leads);
  BOOST_TEST(Host.m_Owner.node().identify().m_Voter == Voter);
  // What was not acknowledged may not have been durable, so it is gone.
  BOOST_TEST(Host.catalogue() == "2");
  BOOST_TEST(Host.replaceCatalogue(4));
}

BOOST_AUTO_TEST_SUITE_END()
