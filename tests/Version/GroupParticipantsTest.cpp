#include "StateBuilder.h"

#include "ragwortmux/Version/ControlEvents.h"
#include "ragwortmux/Version/GroupParticipants.h"
#include "ragwortmux/Version/LeaderContext.h"
#include "ragwortmux/Version/UpdateTracker.h"

#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

const ControlSessionId First(1);
const ControlSessionId Second(2);

LeaseRenewal renewal(ControlSessionId Session,
                     const std::optional<std::set<GroupId>> &Served) {
  LeaseRenewal Renewal;
  Renewal.m_Session = Session;
  Renewal.m_ServedGroups = Served;
  return Renewal;
}

/// What a leader knows of a session.
struct ParticipantCase final {
  const char *m_Name;  ///< Name in messages.
  bool m_Renewed;      ///< It has renewed its lease at this leader.
  bool m_ServesAll;    ///< The renewal says that it serves all groups.
  bool m_ServesGroup;  ///< The renewal says that it serves this group.
  bool m_HoldsRecord;  ///< It holds a share record of 0.
  bool m_Serves;       ///< It serves the group.
  bool m_Participates; ///< It takes part in the group.
};

constexpr ParticipantCase Cases[] = {
    {"nothing known", false, false, false, false, false, false},
    {"serves all", true, true, false, false, true, true},
    {"serves this group", true, false, true, false, true, true},
    {"serves others", true, false, false, false, false, false},
    {"served under an earlier leader", false, false, false, true, true, true},
    {"served before", true, false, false, true, false, true},
    {"serves and holds a record", true, false, true, true, true, true},
};

/// Whether the reply to a renewal brings a catalogue that was pushed before.
struct RepeatCase final {
  const char *m_Name; ///< Name in messages.
  Duration m_After;   ///< Time since the push.
  bool m_Failed;      ///< That push has failed.
  bool m_Repeats;     ///< It is sent again.
};

constexpr ControlLeaderSettings Defaults;

constexpr RepeatCase RepeatCases[] = {
    {"on its way", Defaults.m_PushRetry, false, false},
    {"before the timeout", Defaults.m_ListPushTimeout - Duration(1), false,
     false},
    {"failed just now", Duration(1), true, true},
    {"failed", Defaults.m_PushRetry, true, true},
    {"neither reply nor failure", Defaults.m_ListPushTimeout, false, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Participants)

BOOST_AUTO_TEST_CASE(TermEndWaitsForParticipantsOnly) {
  for (const ParticipantCase &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      ControlState State = makeState();
      for (const std::uint32_t Share : {1U, 0U}) {
        if (Each.m_HoldsRecord)
          State.apply(SetShares{TheGroup, ServerId("s1"), {{First, Share}}});
      }
      State.apply(EndTerm{TheGroup, Term(2)});
      const GroupRecord &Group = *State.groups().find(TheGroup);
      LeaderContext Context(State, ControlLeaderSettings());
      GroupParticipants Participants(Context);
      UpdateTracker Updates(Context, Participants);
      const auto Renew = [&](const LeaseRenewal &Renewal) {
        Participants.renewalReceived(Renewal);
        Updates.renewalReceived(Renewal, Instant());
      };
      std::set<GroupId> Served = {GroupId("other")};
      if (Each.m_ServesGroup)
        Served.insert(TheGroup);
      if (Each.m_Renewed && Each.m_ServesAll)
        Renew(renewal(First, std::nullopt));
      else if (Each.m_Renewed)
        Renew(renewal(First, Served));
      // Another participant that has confirmed the end of the term.
      LeaseRenewal Confirming = renewal(Second, std::nullopt);
      Confirming.m_Confirmed[TheGroup] = Group.m_Revision;
      Renew(Confirming);

      BOOST_TEST(Participants.serves(First, TheGroup) == Each.m_Serves);
      BOOST_TEST(Participants.contains(First, TheGroup) == Each.m_Participates);
      const auto All = Participants.participants(TheGroup);
      BOOST_TEST(All.size() == (Each.m_Participates ? 2U : 1U));
      BOOST_TEST(Updates.allConfirmed(TheGroup, Group.m_TermRevision,
                                      Group.m_LastSession) ==
                 !Each.m_Participates);
      // Only participants get the record, and nothing is pushed before the
      // first renewal.
      Updates.pushGroup(Group, Instant());
      bool IsPushed = false;
      for (const ControlAction &Action : Context.takeActions()) {
        const auto *Push = std::get_if<PushGroupView>(&Action);
        IsPushed = IsPushed || (Push != nullptr && Push->m_Session == First);
      }
      BOOST_TEST(IsPushed == (Each.m_Participates && Each.m_Renewed));
      BOOST_TEST(Updates.takeUnconfirmedViews(First, Instant()).empty() ==
                 !Each.m_Participates);
      Updates.groupConfirmed(First, TheGroup, Group.m_Revision, Instant());
      BOOST_TEST(Updates.allConfirmed(TheGroup, Group.m_TermRevision,
                                      Group.m_LastSession));
    }
  }
}

// A session that does not serve the group must not be ended because of a
// record that was pushed to it while it did.
BOOST_AUTO_TEST_CASE(StalledOnlyInGroupsOfParticipant) {
  ControlState State = makeState();
  const ControlLeaderSettings Settings;
  LeaderContext Context(State, Settings);
  GroupParticipants Participants(Context);
  UpdateTracker Updates(Context, Participants);
  Participants.renewalReceived(renewal(First, std::nullopt));
  Updates.pushGroup(*State.groups().find(TheGroup), Instant());
  const Instant Later = Instant() + 2 * Settings.m_Lease;
  BOOST_TEST(Updates.isStalled(First, Later));
  Participants.renewalReceived(renewal(First, std::set<GroupId>()));
  BOOST_TEST(!Updates.isStalled(First, Later));
}

// The replies repeat a lost push, because only their connection is known to
// work. A push that repeats it would count as on its way once more.
BOOST_AUTO_TEST_CASE(LostCatalogueComesWithNextReply) {
  for (const RepeatCase &Each : RepeatCases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      ControlState State = makeState();
      State.apply(put(0, "c1", entry("bookings")));
      LeaderContext Context(State, Defaults);
      GroupParticipants Participants(Context);
      UpdateTracker Updates(Context, Participants);
      const LeaseRenewal Renewal = renewal(First, std::nullopt);
      Participants.renewalReceived(Renewal);
      Updates.renewalReceived(Renewal, Instant());
      // The reply to the first renewal brings what the session lacks.
      Updates.pushLists(Instant());
      BOOST_TEST(Context.takeActions().empty());
      Updates.renewalAnswered(First);
      Updates.pushLists(Instant());
      BOOST_TEST(Context.takeActions().size() == 1U);
      if (Each.m_Failed)
        Updates.pushFailed(First);
      // Neither this change nor a further one is pushed over it.
      State.apply(put(0, "c2", entry("invoices")));
      const Instant Later = Instant() + Each.m_After;
      Updates.pushLists(Later);
      BOOST_TEST(Context.takeActions().empty());
      const auto Repeated = Updates.takeUnconfirmedCatalogue(First, Later);
      BOOST_REQUIRE(Repeated.has_value() == Each.m_Repeats);
      BOOST_TEST((!Repeated || Repeated->m_Items.size() == 2U));
      // It is on its way now.
      BOOST_TEST(!Updates.takeUnconfirmedCatalogue(First, Later));
      // Confirmed, further changes are pushed again.
      Updates.catalogueConfirmed(First, State.catalogue().revision(), Later);
      State.apply(put(0, "c3", entry("tickets")));
      Updates.pushLists(Later);
      BOOST_TEST(Context.takeActions().size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
