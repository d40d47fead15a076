#include "StateBuilder.h"

#include "ragwortmux/Process/Peers/CommandCodec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

const GroupId Group("g");
const ServerId Server("s");
const RequestKey Key = key(Start);
const AttemptId Attempt("a-1");

/// A workspace with every field set.
Workspace workspace(const char *Name) {
  return {WorkspaceId(Name),
          {KeyDigest(std::string(Workspace::KeyDigestBytes, Name[1]))},
          {20, 30}};
}

/// One command of each kind, with every field set.
std::vector<ControlCommand> allCommands() {
  CatalogueEntry Entry = entry("bookings");
  Entry.m_Class = TrafficClass::AgedRead;
  Entry.m_Limits = {7,
                    8,
                    std::chrono::seconds(9),
                    4096,
                    Duration(11),
                    Duration(12),
                    Duration(13),
                    14};
  const FailureDomainId Domain("Hobart");
  return {
      PutEntry{Revision(3), ChangeId("c"), "op", Entry},
      DeleteEntry{Revision(4), ChangeId("d"), "op", EntryName("n")},
      OpenSession{HostId("h"), Incarnation(5), Domain, "10.1.2.3", 6},
      EndSession{ControlSessionId(7)},
      RegisterServer{Group, Server, Domain, "10.1.2.4", 5432, 3, 35,
                     ReplicationMode::Delegated},
      SetServerState{Group, Server, true, false, true},
      EndTerm{Group, Term(8)},
      AppointPrimary{
          Group, Term(9), Server, {ServerId("t"), ServerId("u")}, Term(12)},
      SetInSync{Group, Term(10), Server, Revision(2), SyncState::Joining},
      SetShares{Group, Server, {{ControlSessionId(1), 2}}},
      ConfirmShares{Group, ControlSessionId(3), Revision(4)},
      ReserveKey{TheOwner, Key, Attempt, ControlSessionId(5), Group, Term(6)},
      RecordOutcome{TheOwner, Key, Attempt, ResultCode::RanAnswerLost,
                    std::string("a\0b", 3)},
      ResolveAttempt{TheOwner, Key, Attempt, ControlSessionId(7), Term(8),
                     true},
      AdvanceTime{Start},
      SetVoters{{{HostId("h"), Domain, "id", "10.1.2.5", 9}}},
      SetSessionHomes{Revision(10), {HostId("a"), HostId("b")}, true},
      ReplaceCatalogue{CatalogueVersion(11),
                       "{\"version\":11}",
                       {Entry},
                       {{Group, 34, 1}},
                       {workspace("w1")}},
      PutWorkspace{Revision(12), ChangeId("c"), "olga", workspace("w2")},
      DeleteWorkspace{Revision(13), ChangeId("d"), "olga", WorkspaceId("w")},
      OrderPromotion{Group, Term(14), Server}};
}

/// A state with data in each of its parts.
ControlStateData fullState() {
  ControlState State = makeState();
  State.apply(put(0, "c1", entry("bookings")));
  State.apply(put(0, "c2", entry("stock")));
  State.apply(erase(2, "c3", "stock"));
  State.apply(SetShares{TheGroup, ServerId("s1"), {{ControlSessionId(1), 9}}});
  State.apply(ReserveKey{TheOwner, Key, Attempt, ControlSessionId(1), TheGroup,
                         Term(1)});
  State.apply(RecordOutcome{TheOwner, Key, Attempt, ResultCode::Ok, "row"});
  State.apply(SetVoters{{{HostId("h1"), {}, "id", "10.1.2.5", 9}}});
  State.apply(SetSessionHomes{Revision(), {HostId("h1")}, false});
  State.apply(EndTerm{TheGroup, Term(2)});
  State.apply(OrderPromotion{TheGroup, Term(2), ServerId("s1")});
  State.apply(RegisterServer{GroupId("delegated"), ServerId("d1"),
                             FailureDomainId("Hobart"), "10.1.2.9", 5432, 3, 35,
                             ReplicationMode::Delegated});
  State.apply(
      SetServerState{GroupId("delegated"), ServerId("d1"), true, false, true});
  State.apply(ReplaceCatalogue{CatalogueVersion(7),
                               "{\"version\":7}",
                               {entry("bookings")},
                               {{TheGroup, 34, 1}},
                               {workspace("w1")}});
  State.apply(PutWorkspace{Revision(), ChangeId("w"), "olga", workspace("w2")});
  State.apply(DeleteWorkspace{State.catalogue().revision(), ChangeId("x"),
                              "olga", WorkspaceId("w2")});
  return State.exportData();
}

bool decodes(const std::string &Bytes) {
  std::string Reason;
  const bool AsCommand = decodeCommand(Bytes, Reason).has_value();
  BOOST_TEST((AsCommand || !Reason.empty()));
  const bool AsState = decodeState(Bytes, Reason).has_value();
  return AsCommand || AsState;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandCodec)

BOOST_AUTO_TEST_CASE(CommandsRoundTrip) {
  const auto Commands = allCommands();
  BOOST_TEST(Commands.size() == std::variant_size_v<ControlCommand>);
  for (std::size_t Index = 0; Index < Commands.size(); ++Index) {
    BOOST_TEST_CONTEXT("command " << Index) {
      BOOST_TEST(Commands[Index].index() == Index);
      std::string Reason;
      const auto Decoded =
          decodeCommand(encodeCommand(Commands[Index]), Reason);
      BOOST_TEST(Reason == "");
      BOOST_TEST((Decoded == Commands[Index]));
    }
  }
}

BOOST_AUTO_TEST_CASE(StateRoundTrips) {
  const ControlStateData Data = fullState();
  std::string Reason;
  const auto Decoded = decodeState(encodeState(Data), Reason);
  BOOST_TEST(Reason == "");
  BOOST_REQUIRE(Decoded);
  BOOST_TEST((*Decoded == Data));
  ControlState Restored;
  Restored.importData(*Decoded);
  BOOST_TEST((Restored.exportData() == Data));
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedAndExtendedBytes) {
  for (const std::string &Whole :
       {encodeCommand(allCommands()[0]), encodeState(fullState())}) {
    for (std::size_t Length = 0; Length < Whole.size(); ++Length)
      BOOST_REQUIRE(!decodes(Whole.substr(0, Length)));
    BOOST_TEST(!decodes(Whole + std::string(8, '\0')));
    BOOST_TEST(!decodes(Whole + "x"));
  }
}

BOOST_AUTO_TEST_CASE(RejectsUnknownValues) {
  ControlStateData Data = fullState();
  std::string Reason;
  Data.m_Ledger[0].m_Key = RequestKey("no key");
  BOOST_TEST(!decodeState(encodeState(Data), Reason));
  const ControlCommand Unknown[] = {
      RecordOutcome{TheOwner, Key, Attempt, static_cast<ResultCode>(999), ""},
      SetInSync{Group, Term(1), Server, {}, static_cast<SyncState>(3)}};
  for (const ControlCommand &Command : Unknown)
    BOOST_TEST(!decodeCommand(encodeCommand(Command), Reason));
}

BOOST_AUTO_TEST_CASE(DecodingSurvivesFlippedBits) {
  // Damaged structure is refused, a damaged value may be accepted; neither may
  // crash the decoder.
  std::mt19937 Random(7);
  const std::string Whole = encodeState(fullState());
  unsigned Refused = 0;
  for (unsigned Round = 0; Round < 2000; ++Round) {
    std::string Bytes = Whole;
    char &Byte = Bytes[Random() % Bytes.size()];
    Byte = static_cast<char>(static_cast<unsigned char>(Byte) ^
                             (1U << (Random() % 8)));
    if (!decodes(Bytes))
      ++Refused;
  }
  BOOST_TEST(Refused > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
