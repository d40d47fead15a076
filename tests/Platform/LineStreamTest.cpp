#include "Socket.h"

#include "platform/LineStream.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>

namespace ragwortmux::platform {

namespace {

using std::chrono::milliseconds;

/// An event loop and a connection whose peer is controlled by the test.
struct Fixture {
  Fixture() {
    auto Address = m_Loop.network()
                       .parseAddress("127.0.0.1", m_Listener->port())
                       .wait(m_Loop.waitScope());
    m_Stream = Address->connect().wait(m_Loop.waitScope());
    m_Peer = m_Listener->accept();
  }

  void runFor(Duration Length) {
    m_Loop.timer().afterDelay(toKj(Length)).wait(m_Loop.waitScope());
  }

  LineStreamHooks hooks() {
    LineStreamHooks Hooks;
    Hooks.m_Line = [this](std::string_view Line) { m_Lines += Line; };
    Hooks.m_Closed = [this](const std::string &) { ++m_Closed; };
    return Hooks;
  }

  IoLoop m_Loop;
  std::shared_ptr<Socket> m_Listener = Socket::listen("127.0.0.1");
  std::shared_ptr<Socket> m_Peer;
  kj::Own<kj::AsyncIoStream> m_Stream;
  std::string m_Lines;
  int m_Closed = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LineStreamTest, Fixture)

BOOST_AUTO_TEST_CASE(ReassemblesLinesSplitAcrossReads) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  for (const char *Part : {"ab", "c\r", "\nde\n", "f"}) {
    m_Peer->write(Part);
    runFor(milliseconds(5));
  }
  BOOST_TEST(m_Lines == "abcde");
  BOOST_TEST(Lines.hasPartialLine());
}

BOOST_AUTO_TEST_CASE(UnreadBytesIncludeThoseInTheSocket) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  m_Peer->write("abc\r\nde");
  runFor(milliseconds(20));
  BOOST_TEST(Lines.unreadBytes() == 2U);
  m_Peer->write("fgh\r\n");
  std::this_thread::sleep_for(milliseconds(20));
  BOOST_TEST(Lines.unreadBytes() == 7U);
  // The loop's clock stood still during the sleep, which counts too.
  runFor(milliseconds(60));
  BOOST_TEST(Lines.unreadBytes() == 0U);
  BOOST_TEST(Lines.unsentBytes() == 0U);
}

// Guards against an exception from the first read or write after the peer has
// already reset the connection: it used to stop the driver of the group for
// good.
BOOST_AUTO_TEST_CASE(ReportsResetBeforeFirstReadAsClosed) {
  m_Peer->reset();
  runFor(milliseconds(20));
  std::unique_ptr<LineStream> Lines;
  BOOST_CHECK_NO_THROW(
      Lines = std::make_unique<LineStream>(m_Loop, kj::mv(m_Stream), hooks()));
  BOOST_REQUIRE(Lines != nullptr);
  BOOST_CHECK_NO_THROW(Lines->write("x\r\n"));
  BOOST_CHECK_NO_THROW(Lines->write("y\r\n"));
  BOOST_CHECK_NO_THROW(Lines->finish());
  runFor(milliseconds(20));
  BOOST_TEST(m_Closed == 1);
}

BOOST_AUTO_TEST_CASE(ReportsResetBeforeWriteAsClosed) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  m_Peer->reset();
  std::this_thread::sleep_for(milliseconds(20));
  BOOST_CHECK_NO_THROW(Lines.write("x\r\n"));
  runFor(milliseconds(20));
  BOOST_TEST(m_Closed == 1);
  BOOST_CHECK_NO_THROW(Lines.write("y\r\n"));
}

BOOST_AUTO_TEST_CASE(CloseWhenSentKeepsConnectionWithUnreadInput) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  Lines.write("first\r\n");
  m_Peer->write("late\r\n");
  // The loop does not run, so the line stays unread.
  std::this_thread::sleep_for(milliseconds(20));
  Lines.closeWhenSent();
  runFor(milliseconds(50));
  BOOST_TEST(m_Lines == "late");
  BOOST_TEST(m_Closed == 0);
  Lines.write("second\r\n");
  Lines.closeWhenSent();
  runFor(milliseconds(50));
  BOOST_TEST(m_Closed == 1);
  BOOST_TEST(m_Peer->readLine().value_or("") == "first");
  BOOST_TEST(m_Peer->readLine().value_or("") == "second");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
