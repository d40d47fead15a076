#include "Socket.h"

#include "platform/LineStream.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

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
    Hooks.m_Line = [this](std::string_view Line) {
      m_Lines += Line;
      m_Received.emplace_back(Line);
    };
    Hooks.m_Closed = [this](const std::string &) { ++m_Closed; };
    return Hooks;
  }

  IoLoop m_Loop;
  std::shared_ptr<Socket> m_Listener = Socket::listen("127.0.0.1");
  std::shared_ptr<Socket> m_Peer;
  kj::Own<kj::AsyncIoStream> m_Stream;
  std::string m_Lines;                 ///< All lines, joined.
  std::vector<std::string> m_Received; ///< Each line.
  int m_Closed = 0;
};

/// Bytes as they arrive, and the lines that they make up.
struct FramingCase final {
  std::vector<std::string> m_Parts; ///< Each is received on its own.
  std::vector<std::string> m_Lines; ///< The complete lines.
};

const std::vector<FramingCase> FramingCases = {
    {{"a\r\nb\r\n"}, {"a", "b"}},
    {{"\r\n\r\n"}, {"", ""}},
    // A line feed alone is part of the line, and so is a carriage return.
    {{"a\nb\r\n"}, {"a\nb"}},
    {{"a\rb\r\n"}, {"a\rb"}},
    {{"\na\n\r\n"}, {"\na\n"}},
    {{"a\r\r\nb\r\n"}, {"a\r", "b"}},
    {{"a\n\r\r\n"}, {"a\n\r"}},
    {{"a\n"}, {}},
    {{"a\n", "b\r", "\n"}, {"a\nb"}},
    {{"a\r", "b\r", "\nc\r\n"}, {"a\rb", "c"}},
    {{"a\r", "\r", "\n", "\n", "\r\n"}, {"a\r", "\n"}},
    {{std::string("a\0b\r\n", 5)}, {std::string("a\0b", 3)}},
};

/// Splits \p Text at each CR LF; drops the rest without one.
std::vector<std::string> splitLines(std::string_view Text) {
  std::vector<std::string> Lines;
  for (std::size_t End = Text.find("\r\n"); End != std::string_view::npos;
       End = Text.find("\r\n")) {
    Lines.emplace_back(Text.substr(0, End));
    Text.remove_prefix(End + 2);
  }
  return Lines;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(LineStreamTest, Fixture)

BOOST_AUTO_TEST_CASE(ReassemblesLinesSplitAcrossReads) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  for (const char *Part : {"ab", "c\r", "\nde\r\n", "f"}) {
    m_Peer->write(Part);
    runFor(milliseconds(5));
  }
  BOOST_TEST(m_Lines == "abcde");
  BOOST_TEST(Lines.hasPartialLine());
}

// Guards against a statement smuggled behind a line feed in the data of another
// one: only CR LF ends a line.
BOOST_AUTO_TEST_CASE(OnlyCarriageReturnAndLineFeedEndLine) {
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  for (const FramingCase &Each : FramingCases) {
    m_Received.clear();
    for (const std::string &Part : Each.m_Parts) {
      m_Peer->write(Part);
      runFor(milliseconds(5));
    }
    BOOST_TEST(m_Received == Each.m_Lines, boost::test_tools::per_element());
    // Ends a line that the row leaves open.
    m_Peer->write("\r\n");
    runFor(milliseconds(5));
  }
}

BOOST_AUTO_TEST_CASE(SplitsRandomBytesAtLineEndsOnly) {
  constexpr int Parts = 300;
  std::mt19937 Random(1);
  LineStream Lines(m_Loop, kj::mv(m_Stream), hooks());
  std::string Sent;
  for (int Part = 0; Part < Parts; ++Part) {
    std::string Bytes;
    for (std::size_t Count = 1 + Random() % 9; Count > 0; --Count)
      Bytes += "\r\n\r\nab "[Random() % 7];
    m_Peer->write(Bytes);
    Sent += Bytes;
    if (Random() % 2 == 0)
      runFor(milliseconds(1));
  }
  runFor(milliseconds(50));
  BOOST_TEST(m_Received == splitLines(Sent), boost::test_tools::per_element());
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

// Guards against lines that are passed on, or bytes that are read, while the
// owner does not allow it.
BOOST_AUTO_TEST_CASE(PausedStreamPassesNothingOnUntilResumed) {
  std::size_t Allowed = 2;
  LineStreamHooks Hooks = hooks();
  Hooks.m_MayRead = [&] { return m_Received.size() < Allowed; };
  LineStream Stream(m_Loop, kj::mv(m_Stream), std::move(Hooks));
  m_Peer->write("1\r\n2\r\n3\r\n4\r\n");
  runFor(milliseconds(50));
  BOOST_TEST(m_Received == (std::vector<std::string>{"1", "2"}),
             boost::test_tools::per_element());
  BOOST_TEST(Stream.hasUnreadInput());
  Allowed = 3;
  Stream.resume();
  BOOST_TEST(m_Received.size() == 3U);
  m_Peer->write("5\r\n");
  runFor(milliseconds(50));
  BOOST_TEST(m_Received.size() == 3U);
  Allowed = 100;
  Stream.resume();
  runFor(milliseconds(50));
  BOOST_TEST(m_Lines == "12345");
  BOOST_TEST(m_Closed == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
