#include "Socket.h"

#include "platform/CallerListener.h"
#include "ragwortmux/Process/Entry/SessionEntryRole.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Process/Support/ProcessSettings.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace ragwortmux::platform {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxCallers = 2;

/// A listener on the test's event loop; the entry role behind it has not
/// received a catalogue, so that callers wait for their admission.
struct Fixture {
  Fixture() { m_Listener.listen("127.0.0.1", m_Port, m_Entry); }

  std::shared_ptr<Socket> connect() {
    auto Connected = Socket::connect("127.0.0.1", m_Port);
    BOOST_REQUIRE(Connected != nullptr);
    runFor(milliseconds(20));
    return Connected;
  }

  /// Runs the loop in short steps: after a pause, a single long timer could
  /// expire before any I/O is handled.
  void runFor(Duration Length) {
    constexpr Duration Step = milliseconds(1);
    for (Duration Passed{0}; Passed < Length; Passed += Step)
      m_Loop.timer().afterDelay(toKj(Step)).wait(m_Loop.waitScope());
  }

  IoLoop m_Loop;
  ProcessSettings m_Settings = defaultSettings();
  Metrics m_Metrics;
  SessionEntryRole m_Entry{m_Loop, m_Settings, m_Metrics, SessionEntryHooks()};
  CallerListener m_Listener{m_Loop, MaxCallers};
  std::uint16_t m_Port = findFreePort("127.0.0.1");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerListenerTest, Fixture)

// Guards against a close of a caller whose message had arrived but had not been
// read yet.
BOOST_AUTO_TEST_CASE(MessageThatHasArrivedKeepsConnectionOpen) {
  const auto Idle = connect();
  const auto Sending = connect();
  Sending->write("STARTUP a u1\r\n");
  // The loop does not run, so the message stays unread.
  std::this_thread::sleep_for(milliseconds(20));
  m_Listener.closeIdle();
  runFor(milliseconds(20));
  BOOST_TEST(!Idle->readLine().has_value());
  BOOST_TEST(m_Listener.size() == 1U);
  m_Listener.closeIdle();
  BOOST_TEST(m_Listener.size() == 1U);
}

// Guards against a close without an answer of callers beyond the limit.
BOOST_AUTO_TEST_CASE(CallersBeyondLimitAreRefused) {
  const auto First = connect();
  const auto Second = connect();
  const auto Third = connect();
  Third->write("STARTUP a u1\r\n");
  runFor(milliseconds(20));
  BOOST_TEST(Third->readLine().value_or("").starts_with("ERROR BUSY "));
  BOOST_TEST(!Third->readLine().has_value());
  Third->close();
  runFor(milliseconds(20));
  BOOST_TEST(m_Listener.size() == MaxCallers);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::platform
