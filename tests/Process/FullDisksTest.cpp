#include "ragwortmux/Process/Control/ControlNode.h"
#include "ragwortmux/Process/Control/ControlNodeOwner.h"
#include "tests/Log/FakeDisk.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Voters = 3;
constexpr Duration StepLength = milliseconds(10);
constexpr Duration IdentifyInterval = milliseconds(500);
constexpr Duration ChangeInterval = milliseconds(50);
/// Within this time a change must be acknowledged while all disks have room.
constexpr Duration AckLimit = seconds(5);
constexpr std::size_t DocumentBytes = 300;
constexpr int Rounds = 6;

struct Voter final {
  std::string m_Address;                     ///< Address of its host.
  std::shared_ptr<FakeDisk> m_Disk;          ///< Its disk.
  std::unique_ptr<ControlNodeOwner> m_Owner; ///< Its node.
  bool m_IsLeader = false;                   ///< The node leads.
};

/// The control hosts of a cluster in simulated time, with messages of one step
/// each and a catalogue that changes all the time.
class ControlHosts final {
public:
  explicit ControlHosts(std::uint64_t Seed)
      : m_Random(Seed), m_SegmentBytes(1000 + random(30000)),
        m_SnapshotEntries(20 + random(500)) {
    for (std::size_t Number = 0; Number < Voters; ++Number) {
      Voter &Each = m_Voters.emplace_back();
      Each.m_Address = "127.0.0.1:" + std::to_string(Number + 1);
      Each.m_Disk = std::make_shared<FakeDisk>();
    }
    for (Voter &Each : m_Voters) {
      Each.m_Owner = std::make_unique<ControlNodeOwner>(
          [this, &Each] { return makeNode(Each); });
      BOOST_REQUIRE(Each.m_Owner->open(m_Now));
    }
    run(seconds(3));
    BOOST_REQUIRE(m_Acknowledged > 0);
  }

  void run(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End;)
      step();
  }

  /// Fills the disk of \p Number for \p Length.
  void fillDisk(std::size_t Number, Duration Length) {
    m_Voters[Number].m_Disk->m_FreeBytes = random(400);
    run(Length);
    m_Voters[Number].m_Disk->m_FreeBytes =
        std::numeric_limits<std::uint64_t>::max();
  }

  std::uint64_t random(std::uint64_t Below) { return m_Random() % Below; }
  std::uint64_t sent() const { return m_Version; }
  std::uint64_t acknowledged() const { return m_Acknowledged; }
  bool haveAll(std::uint64_t Version) {
    return std::ranges::all_of(m_Voters, [&](const Voter &Each) {
      return Each.m_Owner->node().state().catalogue().version().value() >=
             Version;
    });
  }

private:
  std::unique_ptr<ControlNode> makeNode(Voter &Host) {
    LogStorageSettings Storage;
    Storage.m_ClusterName = "test";
    Storage.m_SegmentBytes = m_SegmentBytes;
    Storage.m_Random = [this] { return m_Random(); };
    ControlNodeSettings Settings;
    Settings.m_Address = Host.m_Address;
    Settings.m_Bootstrap = true;
    Settings.m_SnapshotEntries = m_SnapshotEntries;
    Settings.m_Log.m_Random = [this] { return m_Random(); };
    Settings.m_Log.m_TrailingEntries = m_SnapshotEntries / 2;
    ControlNodeHooks Hooks;
    Hooks.m_SendLog = [this](const std::string &Address, LogEnvelope Envelope) {
      m_Mail.emplace_back(Address, std::move(Envelope));
    };
    Hooks.m_Push = [](ControlSessionId, const ControlUpdate &) {};
    Hooks.m_CallBackend = [](const CallBackend &) {};
    Hooks.m_WriteTimeline = [](const std::string &) {};
    Hooks.m_LeadershipChanged = [&Host](bool Leads) {
      Host.m_IsLeader = Leads;
    };
    return std::make_unique<ControlNode>(
        std::move(Settings),
        std::make_unique<LogStorage>(
            std::move(Storage), std::make_unique<FakeFileSystem>(Host.m_Disk)),
        std::move(Hooks));
  }

  void step() {
    m_Now += StepLength;
    for (const auto &[Address, Envelope] : std::exchange(m_Mail, {})) {
      for (const Voter &Each : m_Voters) {
        if (Each.m_Address == Address)
          Each.m_Owner->node().receive(m_Now, Envelope);
      }
    }
    for (const Voter &Each : m_Voters) {
      Each.m_Owner->tick(m_Now);
      Each.m_Owner->node().tick(m_Now, WallTime(milliseconds(1)));
    }
    if (m_Now.time_since_epoch() % IdentifyInterval < StepLength)
      identify();
    if (m_Now.time_since_epoch() % ChangeInterval < StepLength)
      change();
  }

  void identify() {
    std::vector<PeerIdentity> Peers;
    bool AllBlank = true;
    for (const Voter &Each : m_Voters) {
      const IdentifyReply Reply = Each.m_Owner->node().identify();
      AllBlank = AllBlank && Reply.m_Blank;
      Peers.push_back({Each.m_Address, VoterId(Reply.m_Voter), true});
    }
    for (const Voter &Each : m_Voters)
      Each.m_Owner->node().peersIdentified(m_Now, Peers, AllBlank);
  }

  void change() {
    const auto Leader = std::ranges::find_if(
        m_Voters, [](const Voter &Each) { return Each.m_IsLeader; });
    if (Leader == m_Voters.end())
      return;
    ReplaceCatalogue Command;
    Command.m_Version = CatalogueVersion(++m_Version);
    Command.m_Document = std::string(DocumentBytes, 'x');
    Leader->m_Owner->node().command(
        m_Now, Command, [this, Version = m_Version](const CommandReply &Reply) {
          if (Reply.m_Status.ok() && Reply.m_Result.ok())
            m_Acknowledged = std::max(m_Acknowledged, Version);
        });
  }

  std::mt19937_64 m_Random;
  const std::size_t m_SegmentBytes;      ///< Size of a segment file.
  const std::uint64_t m_SnapshotEntries; ///< Entries between snapshots.
  Instant m_Now{std::chrono::hours(1)};
  std::vector<Voter> m_Voters;
  std::vector<std::pair<std::string, LogEnvelope>> m_Mail; ///< On their way.
  std::uint64_t m_Version = 0;      ///< Newest version that was sent.
  std::uint64_t m_Acknowledged = 0; ///< Newest acknowledged version.
};

} // namespace

BOOST_AUTO_TEST_SUITE(FullDisksTest, *boost::unit_test::label("promise-9"))

// Guards against voters that never take part again: their disks were full for
// a few seconds each, one after the other, and changes stay unanswered since.
BOOST_DATA_TEST_CASE(ChangesAreAcknowledgedAfterDisksWereFullInTurn,
                     boost::unit_test::data::xrange(1, 61), Seed) {
  ControlHosts Hosts(Seed);
  for (int Round = 0; Round < Rounds; ++Round) {
    for (std::size_t Number = 0; Number < Voters; ++Number) {
      Hosts.fillDisk(Number, milliseconds(500 + Hosts.random(3500)));
      Hosts.run(milliseconds(Hosts.random(1000)));
    }
  }
  const std::uint64_t Acknowledged = Hosts.acknowledged();
  const std::uint64_t Sent = Hosts.sent();
  Hosts.run(AckLimit);
  BOOST_TEST(Hosts.sent() > Sent);
  BOOST_TEST(Hosts.acknowledged() > Sent);
  BOOST_TEST(Hosts.haveAll(Acknowledged));
}

BOOST_AUTO_TEST_SUITE_END()
