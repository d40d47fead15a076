#include "StateBuilder.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace ragwortmux;
using namespace ragwortmux::test;

namespace {

/// A command and its expected result.
struct Step final {
  const char *m_Name;       ///< Name in messages.
  ControlCommand m_Command; ///< The command.
  ResultCode m_Code;        ///< The expected code.
  std::uint64_t m_Revision; ///< The expected revision of the result.
};

CatalogueEntry withLimits(const EntryLimits &Limits,
                          TrafficClass Class = TrafficClass::Booking) {
  CatalogueEntry Entry = entry("bookings");
  Entry.m_Limits = Limits;
  Entry.m_Class = Class;
  return Entry;
}

/// Applies \p Delta as a proxy does.
void applyDelta(std::map<EntryName, CatalogueItem> &Items,
                const CatalogueDelta &Delta) {
  if (Delta.m_IsWhole)
    Items.clear();
  for (const CatalogueDeletion &Deletion : Delta.m_Deletions)
    Items.erase(Deletion.m_Name);
  for (const CatalogueItem &Item : Delta.m_Items)
    Items[Item.m_Entry.m_Name] = Item;
}

std::map<EntryName, CatalogueItem> itemsOf(const Catalogue &Entries) {
  std::map<EntryName, CatalogueItem> Items;
  Entries.forEachEntry(
      [&](const CatalogueItem &Item) { Items[Item.m_Entry.m_Name] = Item; });
  return Items;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CatalogueChanges)

BOOST_AUTO_TEST_CASE(ResolvesRacesAndResendsByRevisionAndChangeId,
                     *boost::unit_test::label("promise-9")) {
  const Step Steps[] = {
      {"create", put(0, "c1", entry("a", 1)), ResultCode::Ok, 1},
      {"second create", put(0, "c2", entry("a", 2)),
       ResultCode::CatalogueConflict, 1},
      {"resend of the first", put(0, "c1", entry("a", 1)), ResultCode::Ok, 1},
      {"change", put(1, "c3", entry("a", 3)), ResultCode::Ok, 2},
      {"race with an equal revision", put(1, "c4", entry("a", 4)),
       ResultCode::CatalogueConflict, 2},
      {"lost answer, resent", put(1, "c3", entry("a", 3)), ResultCode::Ok, 2},
      {"first change resent after the second", put(0, "c1", entry("a", 1)),
       ResultCode::Ok, 1},
      {"change id of another change", put(2, "c3", entry("a", 9)),
       ResultCode::BadArgument, 0},
      {"deletion of an old revision", erase(1, "c5", "a"),
       ResultCode::CatalogueConflict, 2},
      {"deletion", erase(2, "c6", "a"), ResultCode::Ok, 3},
      {"deletion resent", erase(2, "c6", "a"), ResultCode::Ok, 3},
      {"second deletion", erase(2, "c7", "a"), ResultCode::CatalogueNotFound,
       0},
      {"change of a deleted entry", put(2, "c8", entry("a", 5)),
       ResultCode::CatalogueNotFound, 0},
      {"creation after the deletion", put(0, "c9", entry("a", 6)),
       ResultCode::Ok, 4},
      {"no change id", put(4, "", entry("a", 7)), ResultCode::CatalogueInvalid,
       0},
  };
  ControlState State;
  for (const Step &Each : Steps) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      const ControlResult Result = State.apply(Each.m_Command);
      BOOST_TEST((Result.m_Code == Each.m_Code));
      BOOST_TEST(Result.m_Revision.value() == Each.m_Revision);
      const bool IsConflict = Each.m_Code == ResultCode::CatalogueConflict;
      BOOST_REQUIRE(Result.m_CurrentItem.has_value() == IsConflict);
      if (IsConflict)
        BOOST_TEST(
            (*Result.m_CurrentItem == *State.catalogue().find(EntryName("a"))));
    }
  }
  BOOST_TEST(State.catalogue()
                 .find(EntryName("a"))
                 ->m_Entry.m_Limits.m_MaxConcurrent == 6U);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidFields) {
  using namespace std::chrono_literals;
  CatalogueEntry NoGroup = entry("a");
  NoGroup.m_Group = GroupId();
  const CatalogueEntry Invalid[] = {
      entry(""),
      entry("A"),
      entry("a b"),
      entry(std::string(64, 'a')),
      NoGroup,
      withLimits({0, 1, 1s, 4096, 0ms}),
      withLimits({1001, 1, 1s, 4096, 0ms}),
      withLimits({1, 10001, 1s, 4096, 0ms}),
      withLimits({1, 1, 9ms, 4096, 0ms}),
      withLimits({1, 1, 11min, 4096, 0ms}),
      withLimits({1, 1, 1s, 1023, 0ms}),
      withLimits({1, 1, 1s, (64U << 20U) + 1, 0ms}),
      withLimits({1, 1, 1s, 4096, 1ms}),
      withLimits({1, 1, 1s, 4096, 25h}, TrafficClass::AgedRead),
      withLimits({1, 1, 1s, 4096, 0ms}, static_cast<TrafficClass>(9)),
  };
  ControlState State;
  for (const CatalogueEntry &Entry : Invalid)
    BOOST_TEST((State.apply(put(0, "c", Entry)).m_Code ==
                ResultCode::CatalogueInvalid));
  BOOST_TEST(State.apply(put(0, "c", entry(std::string(63, 'a')))).ok());
}

BOOST_AUTO_TEST_CASE(BoundsHistoryChangeIdsAndDeletions) {
  ControlState::Settings Bounds;
  Bounds.m_Catalogue.m_MaxRecentChanges = 3;
  Bounds.m_Catalogue.m_MaxChangesPerEntry = 2;
  Bounds.m_Catalogue.m_MaxDeletions = 1;
  ControlState State(Bounds);
  for (std::uint64_t Change = 0; Change < 5; ++Change)
    State.apply(put(Change, "c" + std::to_string(Change),
                    entry("a", static_cast<std::uint32_t>(Change + 1))));
  std::vector<std::uint64_t> Revisions;
  State.catalogue().forEachChange(EntryName("a"), [&](const auto &Change) {
    Revisions.push_back(Change.m_Revision.value());
  });
  BOOST_TEST((Revisions == std::vector<std::uint64_t>{4, 5}));
  // A resend within the window gets its first result, an older one is refused.
  BOOST_TEST(State.apply(put(2, "c2", entry("a", 3))).ok());
  BOOST_TEST((State.apply(put(1, "c1", entry("a", 2))).m_Code ==
              ResultCode::CatalogueConflict));
  // A proxy that lacks a deletion which is no longer stored gets the whole
  // catalogue.
  State.apply(erase(5, "d1", "a"));
  State.apply(put(0, "d2", entry("b")));
  State.apply(erase(7, "d3", "b"));
  BOOST_TEST(State.catalogue().deltaSince(Revision(5)).m_IsWhole);
  BOOST_TEST(!State.catalogue().deltaSince(Revision(6)).m_IsWhole);
}

BOOST_AUTO_TEST_CASE(DeltasAndSnapshotMatchCatalogueAfterManyChanges,
                     *boost::unit_test::label("promise-9")) {
  std::mt19937 Random(11);
  ControlState State;
  std::map<EntryName, CatalogueItem> Proxy;
  Revision ProxyRevision;
  unsigned Accepted = 0;
  for (unsigned Change = 0; Accepted < 500; ++Change) {
    const std::string Name = "e" + std::to_string(Random() % 20);
    const CatalogueItem *Item = State.catalogue().find(EntryName(Name));
    const std::uint64_t Expected = Item ? Item->m_Revision.value() : 0;
    const std::string Id = "c" + std::to_string(Change);
    const ControlResult Result =
        Item && Random() % 4 == 0
            ? State.apply(erase(Expected, Id, Name))
            : State.apply(put(Expected, Id, entry(Name, 1 + Random() % 9)));
    Accepted += Result.ok() ? 1 : 0;
    // A proxy that receives deltas only now and then has the same catalogue.
    if (Random() % 7 != 0)
      continue;
    const CatalogueDelta Delta = State.catalogue().deltaSince(ProxyRevision);
    applyDelta(Proxy, Delta);
    ProxyRevision = Delta.m_Revision;
    BOOST_REQUIRE((Proxy == itemsOf(State.catalogue())));
  }
  ControlState Restarted;
  Restarted.importData(State.exportData());
  BOOST_TEST((Restarted.exportData() == State.exportData()));
  // Both states react to the next command in the same way.
  const ControlCommand Next = put(0, "last", entry("new"));
  BOOST_TEST((State.apply(Next) == Restarted.apply(Next)));
  BOOST_TEST((Restarted.exportData() == State.exportData()));
}

BOOST_AUTO_TEST_SUITE_END()
