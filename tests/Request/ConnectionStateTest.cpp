#include "GroupFixture.h"

#include <boost/test/data/test_case.hpp>

#include <ostream>

/// \file
/// What GroupCore does with a connection whose session state is unknown, or was
/// changed by a caller.

namespace ragwortmux {

namespace {

struct ConnectionStateFixture : GroupFixture {
  ConnectionStateFixture() { sample(1, 10, {"s1", "s2", "s3"}); }

  BackendAnswer tagFailure(const char *SqlState) {
    BackendAnswer Result = error(SqlState);
    Result.m_IsTagFailure = true;
    return Result;
  }

  BackendAnswer sessionChange(TransactionStatus Status) {
    BackendAnswer Result = ok(1, 10, Status);
    Result.m_ChangesSession = true;
    return Result;
  }
};

/// SQLSTATEs of a failed tag: any error, a refused term, no free slot.
const std::vector<const char *> TagFailures = {"XX000", "72000", "53300"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionStateTest, ConnectionStateFixture)

// Guards against a booking that runs under the attempt of another one: after a
// failed SET nobody knows which attempt the connection has.
BOOST_DATA_TEST_CASE(FailedTagClosesConnection,
                     boost::unit_test::data::make(TagFailures), SqlState) {
  const RequestId Id = keyedWrite();
  const std::uint64_t First = running();
  answer(tagFailure(SqlState));
  BOOST_TEST(serverOf(First) == "");
  BOOST_TEST(!isAnswered(Id));
  // It has not run, so it is sent again on another connection.
  wait(std::chrono::milliseconds(200));
  BOOST_REQUIRE(m_Statements.size() == 1);
  BOOST_TEST(running() != First);
  BOOST_TEST((m_Statements[0].m_Attempt == m_Reserves[0].m_Attempt));
}

// The same for the SET that clears the tag of an earlier booking.
BOOST_AUTO_TEST_CASE(FailedClearingOfTagClosesConnection) {
  keyedWrite();
  const std::uint64_t First = running();
  answer(error("53300"));
  const RequestId Unkeyed = write();
  BOOST_REQUIRE(running() == First);
  BOOST_REQUIRE(m_Statements.back().m_Attempt.has_value());
  answer(tagFailure("XX000"));
  BOOST_TEST(serverOf(First) == "");
  BOOST_TEST(!isAnswered(Unkeyed));
}

// Guards against a caller that runs in the settings or with the prepared
// statements that another one left on a connection.
BOOST_AUTO_TEST_CASE(ConnectionWithChangedSessionIsClosed) {
  write();
  const std::uint64_t First = running();
  answer(sessionChange(TransactionStatus::Idle));
  BOOST_TEST(serverOf(First) == "");
}

BOOST_AUTO_TEST_CASE(TransactionKeepsItsConnectionAfterSessionChange) {
  const auto Statement = [this] {
    GroupRequest Request = makeRequest(TrafficClass::Booking);
    Request.m_Caller = CallerConnectionId(901);
    return submit(std::move(Request));
  };
  Statement();
  const std::uint64_t Connection = running();
  answer(ok(1, 10, TransactionStatus::InTransaction));
  Statement();
  answer(sessionChange(TransactionStatus::InTransaction));
  BOOST_TEST(serverOf(Connection) == "s1");
  Statement();
  BOOST_TEST(running() == Connection);
  answer(ok(1, 11));
  BOOST_TEST(serverOf(Connection) == "");
}

BOOST_AUTO_TEST_CASE(ConnectionWithUnchangedSessionIsKept) {
  write();
  const std::uint64_t First = running();
  answer(ok(1, 10));
  BOOST_TEST(serverOf(First) == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
