#include "tests/StandIn/StandInStore.h"
#include "tests/StandIn/StandInWire.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ragwortmux;
using namespace ragwortmux::standin;

namespace {

/// Commits one row and returns the point of the commit.
LogPoint commitRow(StandInStore &Store, const std::string &Key,
                   const std::string &Value, const std::string &Attempt = "") {
  const auto Id = Store.begin();
  BOOST_REQUIRE(Store.lock(Id, "t", Key));
  Store.recordWrite(Id, "write " + Key);
  Store.write(Id, {"t", Key, Value});
  const auto Point = Store.commit(Id, Attempt);
  BOOST_REQUIRE(Point.has_value());
  return *Point;
}

std::optional<std::string> readRow(StandInStore &Store,
                                   const std::string &Key) {
  const auto Id = Store.begin();
  auto Value = Store.read(Id, "t", Key);
  Store.rollback(Id);
  return Value;
}

/// Replicates the log of \p Primary to \p Replica like the replication stream.
void replicate(const StandInStore &Primary, StandInStore &Replica) {
  const LogPosition Common = Primary.commonPosition(Replica.termRuns());
  Replica.adoptHistory(Primary.term(), Common);
  const auto &Log = Primary.log();
  for (std::size_t Index = Common.value(); Index < Log.size(); ++Index) {
    Replica.apply(Log[Index]);
  }
}

LogPoint point(std::uint64_t InTerm, std::uint64_t Position) {
  return {Term(InTerm), LogPosition(Position)};
}

struct CommonCase final {
  std::vector<std::uint64_t> m_Primary; ///< Term of each of its log entries.
  std::vector<std::uint64_t> m_Replica; ///< Term of each of its log entries.
  std::uint64_t m_Expected;             ///< Expected common position.

  friend std::ostream &operator<<(std::ostream &Output, const CommonCase &C) {
    return Output << C.m_Primary.size() << "/" << C.m_Replica.size() << " -> "
                  << C.m_Expected;
  }
};

const CommonCase CommonCases[] = {
    {{}, {}, 0},
    {{1, 1}, {}, 0},
    {{}, {1, 1}, 0},
    {{1, 1}, {1, 1}, 2},
    {{1, 1, 1}, {1, 1}, 2},
    {{1, 1}, {1, 1, 1}, 2},
    {{1, 1, 2, 2}, {1, 1, 1}, 2},
    {{1, 1, 2}, {1, 1, 1, 1}, 2},
    {{1, 2, 3}, {1, 2, 2, 2}, 2},
    {{1, 3}, {1, 2}, 1},
    {{2}, {1}, 0},
};

/// Creates a store whose log entries have the given terms and no changes.
StandInStore storeOfTerms(const std::vector<std::uint64_t> &Terms) {
  StandInStore Store;
  std::uint64_t Position = 0;
  for (const std::uint64_t EntryTerm : Terms) {
    StandInLogEntry Entry;
    Entry.m_Point = point(EntryTerm, ++Position);
    Store.apply(Entry);
  }
  return Store;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandInStoreTest)

BOOST_AUTO_TEST_CASE(CommitsGetPositionsAndAreVisible) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(3)));
  BOOST_TEST((commitRow(Store, "a", "1") == point(3, 1)));
  BOOST_TEST((commitRow(Store, "b", "2") == point(3, 2)));
  BOOST_TEST(readRow(Store, "a").value() == "1");
  BOOST_TEST(Store.log()[1].m_Statements == "write b");
}

BOOST_AUTO_TEST_CASE(OpenTransactionsSeeOnlyTheirOwnChanges) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(1)));
  commitRow(Store, "a", "1");
  const auto Id = Store.begin();
  BOOST_REQUIRE(Store.lock(Id, "t", "a"));
  BOOST_REQUIRE(Store.lock(Id, "t", "b"));
  Store.write(Id, {"t", "a", std::nullopt});
  Store.write(Id, {"t", "b", "2"});
  BOOST_TEST(!Store.read(Id, "t", "a"));
  BOOST_TEST((Store.rows(Id, "t") == StandInStore::Rows{{"b", "2"}}));
  BOOST_TEST(readRow(Store, "a").value() == "1");
  BOOST_TEST(!readRow(Store, "b"));
  Store.rollback(Id);
  BOOST_TEST(!readRow(Store, "b"));
  BOOST_TEST((Store.point() == point(1, 1)));
}

BOOST_AUTO_TEST_CASE(RowLocksLastUntilTransactionEnds) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(1)));
  const auto First = Store.begin();
  const auto Second = Store.begin();
  BOOST_TEST(Store.lock(First, "t", "a"));
  BOOST_TEST(Store.lock(First, "t", "a"));
  BOOST_TEST(!Store.lock(Second, "t", "a"));
  BOOST_TEST(Store.lock(Second, "t", "b"));
  int Changes = 0;
  Store.m_OnChange = [&Changes] { ++Changes; };
  Store.rollback(First);
  BOOST_TEST(Changes == 1);
  BOOST_TEST(Store.lock(Second, "t", "a"));
}

BOOST_AUTO_TEST_CASE(ReadOnlyTransactionsTakeNoPosition) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(1)));
  const auto Id = Store.begin();
  BOOST_TEST(!Store.read(Id, "t", "a"));
  BOOST_TEST((Store.commit(Id, "") == point(1, 0)));
  BOOST_TEST(Store.log().empty());
}

BOOST_AUTO_TEST_CASE(FencingWithHigherTermDemotesPrimary) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(2)));
  const auto Id = Store.begin();
  BOOST_TEST(!Store.fence(Term(1)));
  BOOST_TEST(Store.fence(Term(2)));
  BOOST_TEST(Store.isOpen(Id));
  BOOST_TEST(Store.fence(Term(3)));
  BOOST_TEST(!Store.isOpen(Id));
  BOOST_TEST((Store.role() == StandInRole::Replica));
  BOOST_TEST((Store.term() == Term(3)));
  BOOST_TEST((Store.point() == point(2, 0)));
}

BOOST_AUTO_TEST_CASE(PromotionIsIdempotentAndRefusesLowerTerms) {
  StandInStore Store;
  BOOST_REQUIRE(Store.fence(Term(2)));
  BOOST_TEST(!Store.promote(Term(1)));
  BOOST_TEST((Store.promote(Term(2)) == point(2, 0)));
  commitRow(Store, "a", "1");
  BOOST_TEST((Store.promote(Term(2)) == point(2, 0)));
  BOOST_TEST((Store.promote(Term(4)) == point(4, 1)));
  BOOST_TEST(!Store.follow(Term(4)));
  BOOST_TEST(!Store.follow(Term(3)));
  BOOST_TEST(Store.follow(Term(5)));
  BOOST_TEST(!Store.promote(Term(5)));
}

BOOST_DATA_TEST_CASE(FindsCommonLogPrefix,
                     boost::unit_test::data::make(CommonCases), Case) {
  const StandInStore Primary = storeOfTerms(Case.m_Primary);
  const StandInStore Replica = storeOfTerms(Case.m_Replica);
  BOOST_TEST(Primary.commonPosition(Replica.termRuns()).value() ==
             Case.m_Expected);
}

BOOST_AUTO_TEST_CASE(FollowingDropsEntriesMissingOnPrimary) {
  StandInStore Old;
  StandInStore New;
  BOOST_REQUIRE(Old.promote(Term(1)));
  commitRow(Old, "a", "1", "one");
  BOOST_REQUIRE(New.follow(Term(1)));
  replicate(Old, New);
  commitRow(Old, "a", "lost", "two");
  BOOST_TEST(!Old.endAttempt("four"));
  BOOST_REQUIRE(New.promote(Term(2)));
  commitRow(New, "b", "2", "three");

  BOOST_REQUIRE(Old.follow(Term(2)));
  replicate(New, Old);
  BOOST_TEST((Old.log() == New.log()));
  BOOST_TEST((Old.point() == point(2, 2)));
  BOOST_TEST(readRow(Old, "a").value() == "1");
  BOOST_TEST(readRow(Old, "b").value() == "2");
  // The attempt in the dropped log entries did not commit in the new history.
  BOOST_REQUIRE(Old.promote(Term(3)));
  BOOST_TEST(Old.endAttempt("one"));
  BOOST_TEST(!Old.endAttempt("two"));
  BOOST_TEST(!Old.isAborted("four"));
}

BOOST_AUTO_TEST_CASE(EndedAttemptsNeverCommit) {
  StandInStore Store;
  BOOST_REQUIRE(Store.promote(Term(1)));
  BOOST_TEST((commitRow(Store, "a", "1", "done") == point(1, 1)));
  BOOST_TEST(Store.endAttempt("done"));
  const auto Id = Store.begin();
  BOOST_REQUIRE(Store.lock(Id, "t", "b"));
  Store.recordWrite(Id, "write b");
  Store.write(Id, {"t", "b", "2"});
  BOOST_TEST(!Store.endAttempt("late"));
  BOOST_TEST(!Store.endAttempt("late"));
  BOOST_TEST(!Store.commit(Id, "late"));
  BOOST_TEST(!Store.isOpen(Id));
  BOOST_TEST(!readRow(Store, "b"));
  // Ending the attempt twice adds only one log entry.
  BOOST_TEST((Store.point() == point(1, 2)));
  StandInStore Replica;
  BOOST_REQUIRE(Replica.follow(Term(1)));
  replicate(Store, Replica);
  BOOST_TEST(Replica.isAborted("late"));
}

BOOST_AUTO_TEST_CASE(JournalRestoresStore) {
  std::vector<StandInFrame> Frames;
  StandInStore Store;
  Store.m_OnJournal = [&Frames](const StandInFrame &Frame) {
    Frames.push_back(Frame);
  };
  StandInStore Other;
  BOOST_REQUIRE(Other.promote(Term(1)));
  commitRow(Other, "a", "1");
  BOOST_REQUIRE(Store.follow(Term(1), "127.0.0.1:7"));
  replicate(Other, Store);
  BOOST_REQUIRE(Store.promote(Term(2)));
  commitRow(Store, "b", "2", "one");
  BOOST_TEST(!Store.endAttempt("two"));
  BOOST_REQUIRE(Other.promote(Term(3)));
  BOOST_REQUIRE(Store.follow(Term(3), "127.0.0.1:8"));
  replicate(Other, Store);
  BOOST_REQUIRE(Store.fence(Term(4)));

  StandInStore Restored;
  for (const StandInFrame &Frame : Frames) {
    Restored.restore(Frame);
  }
  BOOST_TEST((Restored.log() == Store.log()));
  BOOST_TEST((Restored.point() == Store.point()));
  BOOST_TEST((Restored.term() == Term(4)));
  BOOST_TEST((Restored.followedTerm() == Term(3)));
  BOOST_TEST(Restored.primaryAddress() == "127.0.0.1:8");
  BOOST_TEST((Restored.role() == StandInRole::Replica));
  BOOST_TEST(readRow(Restored, "a").value() == "1");
  BOOST_TEST(!readRow(Restored, "b"));
}

BOOST_AUTO_TEST_CASE(FrameEncodingPreservesLogEntry) {
  StandInLogEntry Entry;
  Entry.m_Point = point(7, 9);
  Entry.m_Attempt = "id";
  Entry.m_Statements = "a; b";
  Entry.m_Changes = {{"t", "a", "1"}, {"t", "b", std::nullopt}, {"t", "c", ""}};
  const std::string Bytes = encodeFrame({StandInFrameKind::Entry, Entry});
  const std::string_view Body =
      std::string_view(Bytes).substr(StandInFrameHeaderBytes);
  BOOST_TEST(frameLength(Bytes.substr(0, StandInFrameHeaderBytes)) ==
             Body.size());
  const auto Decoded = decodeFrame(Body);
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded->m_Entry == Entry));
  for (std::size_t Length = 0; Length < Body.size(); ++Length) {
    BOOST_TEST(!decodeFrame(Body.substr(0, Length)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
