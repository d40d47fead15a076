#include "StateBuilder.h"

#include "ragwortmux/Version/CatalogueCache.h"
#include "ragwortmux/Version/ControlLeader.h"
#include "ragwortmux/Version/ProxyLease.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <variant>
#include <vector>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

using namespace std::chrono_literals;

/// A host that answers by its catalogue must have every change that is older
/// than this: what users allow an acknowledged change until it is in force.
constexpr Duration InForce = 3s;
constexpr Duration StepLength = 10ms;
constexpr Duration RenewalInterval = 300ms;
constexpr Duration ObservedTime = 12s;

struct LossCase final {
  const char *m_Name;       ///< What happens to the messages of control.
  bool m_LosesPushes;       ///< Pushes do not arrive.
  bool m_LosesLists;        ///< Replies with a catalogue do not arrive; else
                            ///< the host must keep its lease.
  Duration m_LeaderChanges; ///< Interval of changes of leader; 0: none.
  Duration m_Changes;       ///< Interval of catalogue changes; 0: only one.

  friend std::ostream &operator<<(std::ostream &Stream, const LossCase &Case) {
    return Stream << Case.m_Name;
  }
};

const std::vector<LossCase> Losses = {
    {"nothing is lost", false, false, 0s, 0s},
    {"pushes are lost", true, false, 0s, 0s},
    {"pushes are lost, many changes", true, false, 0s, 170ms},
    {"pushes and lists are lost", true, true, 0s, 0s},
    {"pushes and lists are lost, many changes", true, true, 0s, 170ms},
    {"pushes and lists are lost, leaders change", true, true, 700ms, 0s},
    {"leaders change, many changes", true, true, 700ms, 170ms}};

/// One entry host and a control leader whose messages get lost. Renewals and
/// their replies take one step each.
class LossyHost final {
public:
  explicit LossyHost(const LossCase &Case) : m_Case(Case) {
    m_State.apply(AdvanceTime{Start});
    m_State.apply(openSession("h1"));
    m_Session = ControlSessionId(1);
    m_Lease.sessionOpened(m_Session);
    changeLeader();
    run(1s);
    change();
    run(1s);
    BOOST_REQUIRE(m_Lease.isValid(m_Now));
    BOOST_REQUIRE((m_Cache.revision() == m_State.catalogue().revision()));
  }

  /// Commits a change of the catalogue.
  void change() {
    ++m_Version;
    ReplaceCatalogue Command{CatalogueVersion(m_Version), "{}", {}, {}};
    Command.m_Entries.push_back(
        entry("entry-" + std::to_string(m_Version % 2)));
    const ControlResult Result = m_State.apply(Command);
    m_Leader->applied(Command, Result, m_Now);
    m_Committed.push_back({Result.m_Revision, m_Now});
    takeActions();
  }

  /// From now on messages get lost.
  void loseMessages() { m_IsLossy = true; }

  /// Advances time by \p Length.
  void run(Duration Length) {
    for (const Instant End = m_Now + Length; m_Now < End;)
      step();
  }

  /// How long the host has had a valid lease without a change that was
  /// committed, at most.
  Duration oldestUse() const { return m_OldestUse; }
  /// True if the host was without a lease while messages were lost.
  bool hasLostLease() const { return m_HasLostLease; }

private:
  struct Commit final {
    Revision m_Revision; ///< Revision of the catalogue after a change.
    Instant m_At;        ///< When it was committed.
  };

  void step() {
    m_Now += StepLength;
    if (m_IsLossy && isDue(m_Case.m_LeaderChanges))
      changeLeader();
    if (m_IsLossy && isDue(m_Case.m_Changes))
      change();
    if (isDue(RenewalInterval))
      renew();
    m_Leader->tick(m_Now, Start);
    takeActions();
    recordUse();
  }

  bool isDue(Duration Interval) const {
    return Interval > 0s && m_Now.time_since_epoch() % Interval < StepLength;
  }

  void changeLeader() {
    m_Leader =
        std::make_unique<ControlLeader>(m_State, ControlLeaderSettings());
    m_Leader->becameLeader(m_Now);
    takeActions();
  }

  void renew() {
    LeaseRenewal Renewal;
    Renewal.m_Session = m_Session;
    Renewal.m_Sequence = m_Lease.renewalSent(m_Now);
    Renewal.m_Catalogue = m_Cache.revision();
    Renewal.m_Homes = m_Homes;
    m_Leader->renewalReceived(Renewal, m_Now);
    takeActions();
  }

  void takeActions() {
    for (auto Actions = m_Leader->takeActions(); !Actions.empty();
         Actions = m_Leader->takeActions()) {
      for (const ControlAction &Action : Actions)
        std::visit([this](const auto &Typed) { handle(Typed); }, Action);
    }
  }

  void handle(const ConfirmLeadership &Action) {
    m_Leader->leadershipConfirmed(Action.m_Token, m_Now);
  }
  void handle(const Propose &Action) {
    const ControlResult Result = m_State.apply(Action.m_Command);
    m_Leader->applied(Action.m_Command, Result, m_Now);
  }
  void handle(const GrantRenewal &Action) {
    if (m_IsLossy && m_Case.m_LosesLists && Action.m_Catalogue)
      return;
    if (Action.m_Catalogue)
      m_Cache.apply(*Action.m_Catalogue);
    if (Action.m_Homes)
      m_Homes = Action.m_Homes->m_Revision;
    m_Lease.renewalGranted(Action.m_Session, Action.m_Sequence,
                           Action.m_Length);
  }
  void handle(const PushCatalogue &Action) {
    if (m_IsLossy && m_Case.m_LosesPushes)
      return;
    m_Cache.apply(Action.m_Delta);
    m_Leader->catalogueConfirmed(m_Session, m_Cache.revision(), m_Now);
  }
  void handle(const PushSessionHomes &Action) {
    m_Homes = Action.m_Homes->m_Revision;
    m_Leader->homesConfirmed(m_Session, m_Homes, m_Now);
  }
  // Also RefuseRenewal: the session has ended, and its lease runs out.
  template <typename Other> void handle(const Other &) {}

  void recordUse() {
    if (!m_Lease.isValid(m_Now)) {
      m_HasLostLease = m_HasLostLease || m_IsLossy;
      return;
    }
    for (const Commit &Each : m_Committed) {
      if (Each.m_Revision <= m_Cache.revision())
        continue;
      m_OldestUse = std::max(m_OldestUse, m_Now - Each.m_At);
      return;
    }
  }

  const LossCase m_Case;
  ControlState m_State;
  std::unique_ptr<ControlLeader> m_Leader;
  ControlSessionId m_Session;
  ProxyLease m_Lease;
  CatalogueCache m_Cache;
  Revision m_Homes;
  std::vector<Commit> m_Committed; ///< All changes so far.
  std::uint64_t m_Version = 0;     ///< The newest version.
  Instant m_Now{std::chrono::hours(1)};
  bool m_IsLossy = false;
  Duration m_OldestUse{0};     ///< See oldestUse().
  bool m_HasLostLease = false; ///< See hasLostLease().
};

} // namespace

BOOST_AUTO_TEST_SUITE(CatalogueLease, *boost::unit_test::label("promise-9"))

// Guards against a host that refuses callers of an entry that was added, or
// serves one that was dropped, because its lease outlives its catalogue.
BOOST_DATA_TEST_CASE(HostWithoutAcknowledgedChangeLosesLease,
                     boost::unit_test::data::make(Losses), Case) {
  LossyHost Host(Case);
  Host.loseMessages();
  Host.change();
  Host.run(ObservedTime);
  BOOST_TEST((Host.oldestUse() <= InForce),
             "a lease was used " << Host.oldestUse().count()
                                 << " us after a change that the host lacks");
  BOOST_TEST(Host.hasLostLease() == Case.m_LosesLists);
}

BOOST_AUTO_TEST_SUITE_END()
