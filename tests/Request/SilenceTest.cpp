#include "GroupFixture.h"

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SilenceFixture : public GroupFixture {
public:
  SilenceFixture() { sample(1, 10, {"s1", "s2", "s3"}); }

  RequestId read() {
    GroupRequest Request = makeRequest(TrafficClass::SessionRead);
    Request.m_Token = point(1, 10);
    return submit(std::move(Request));
  }
};

BOOST_FIXTURE_TEST_SUITE(Silence, SilenceFixture,
                         *boost::unit_test::label("promise-4"))

BOOST_AUTO_TEST_CASE(ConnectionIsNotReusedAfterTimeout) {
  const RequestId Late = write();
  const std::uint64_t Connection = running();
  wait(seconds(5));
  BOOST_TEST((code(Late) == ResultCode::OutcomeUnknown));
  BOOST_TEST(serverOf(Connection) == "");
  const RequestId Next = write();
  BOOST_TEST(running() != Connection);
  // The late answer belongs to no request, in particular not to the next
  // caller's.
  answerOn(Connection, ok(1, 10));
  BOOST_TEST(!isAnswered(Next));
  answer(ok(1, 10));
  BOOST_TEST((code(Next) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(OutOfOrderAnswersReachTheirCallers) {
  std::vector<RequestId> Requests;
  std::vector<std::uint64_t> Connections;
  for (int Index = 0; Index < 3; ++Index) {
    Requests.push_back(write());
    Connections.push_back(running());
  }
  for (const std::size_t Index : {2, 0, 1}) {
    BackendAnswer Result = ok(1, 10);
    Result.m_Body = std::make_shared<const std::string>(std::to_string(Index));
    answerOn(Connections[Index], Result);
    BOOST_TEST(body(Requests[Index]) == std::to_string(Index));
  }
}

BOOST_AUTO_TEST_CASE(OversizedAnswerIsNeverForwardedInPart) {
  for (const bool IsWriteRequest : {false, true}) {
    SilenceFixture Group;
    const RequestId Id = IsWriteRequest ? Group.write() : Group.read();
    BackendAnswer Result = Group.ok(1, 10);
    Result.m_Truncated = true;
    Group.answer(Result);
    BOOST_TEST((Group.code(Id) == ResultCode::RanAnswerTooLarge));
    BOOST_TEST(Group.body(Id) == "");
  }
}

BOOST_AUTO_TEST_CASE(SilentReadIsRetriedBeforeDeadline) {
  const RequestId Id = read();
  BOOST_TEST(runsAt() == "s2");
  const std::uint64_t Connection = running();
  wait(seconds(2));
  BOOST_TEST(runsAt() == "s3");
  answerOn(Connection, ok(1, 10));
  BOOST_TEST(!isAnswered(Id));
  // The second try has the remaining time until the deadline.
  wait(seconds(2));
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(RetryAvoidsOtherSilentConnections) {
  // All open connections no longer respond; new ones work.
  for (const auto &[Id, Connection] : m_Open)
    m_UnresponsiveConnections.insert(Id.value());
  const RequestId Id = read();
  BOOST_TEST(m_UnresponsiveConnections.contains(running()));
  wait(seconds(2));
  BOOST_TEST(runsAt() != "s2");
  BOOST_TEST(!m_UnresponsiveConnections.contains(running()));
  answer(ok(1, 10));
  BOOST_TEST((code(Id) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(DistinguishesDeadConnectionFromDeadServer) {
  for (const bool ServerIsDead : {false, true}) {
    BOOST_TEST_CONTEXT(ServerIsDead) {
      SilenceFixture Group;
      const auto CountAt = [&Group](const char *Server) {
        std::size_t Count = 0;
        for (const auto &[Id, Connection] : Group.m_Open)
          Count += Connection.m_Server.value() == Server ? 1 : 0;
        return Count;
      };
      const std::size_t Before = CountAt("s2");
      Group.read();
      if (ServerIsDead)
        Group.m_UnresponsiveServers.insert("s2");
      Group.wait(seconds(4));
      std::size_t Suspicions = 0;
      for (const ReportSuspicion &Suspicion : Group.m_Suspicions) {
        BOOST_TEST((Suspicion.m_Server == ServerId("s2")));
        ++Suspicions;
      }
      BOOST_TEST((Suspicions > 0) == ServerIsDead);
      // The other connections to a live server were probed and are used again.
      Group.read();
      BOOST_TEST((Group.runsAt() == "s2") == !ServerIsDead);
      BOOST_TEST(CountAt("s2") <= Before + 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Overload, SilenceFixture)

BOOST_AUTO_TEST_CASE(RequestsBeyondQueueLimitAreRefusedAtOnce) {
  m_Limits.m_MaxConcurrent = 2;
  m_Limits.m_MaxQueued = 3;
  std::vector<RequestId> Requests;
  Requests.reserve(6);
  for (int Index = 0; Index < 6; ++Index)
    Requests.push_back(write());
  BOOST_TEST(m_Sent == 2U);
  BOOST_TEST(!isAnswered(Requests[4]));
  BOOST_TEST((code(Requests[5]) == ResultCode::NotRunQueueFull));
  for (int Index = 0; Index < 5; ++Index)
    answer(ok(1, 10));
  BOOST_TEST((code(Requests[4]) == ResultCode::Ok));
  BOOST_TEST(m_Core.pendingRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(FloodOfOneOwnerDoesNotDelayAnother) {
  m_Limits.m_MaxQueued = 1000;
  for (int Index = 0; Index < 500; ++Index)
    submit(makeRequest(TrafficClass::Booking, "flood"));
  const RequestId Other = submit(makeRequest(TrafficClass::Booking, "other"));
  // Three slots are in use; the next free one goes to the other owner.
  answer(ok(1, 10));
  answer(ok(1, 10));
  BOOST_TEST((code(Other) == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(BookingsPrecedeOtherClasses) {
  m_View.m_Servers.resize(1);
  m_View.m_Servers[0].m_Slots = 1;
  setView(1);
  const RequestId First = write();
  const RequestId Read = read();
  const RequestId Write = submit(makeRequest(TrafficClass::Write));
  const RequestId Booking = write();
  BOOST_TEST(m_Sent == 1U);
  for (const RequestId Expected : {First, Booking, Write, Read}) {
    // The request that gets the answer, a database error, is the one that ran.
    answer(error("22012"));
    BOOST_TEST(isAnswered(Expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace ragwortmux
