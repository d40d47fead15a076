#include "ragwortmux/Process/Peers/GatedStream.h"

#include <boost/test/unit_test.hpp>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <string>

using namespace ragwortmux;

namespace {

/// A gated end of a pipe whose other end the test writes to.
struct Fixture {
  Fixture() {
    m_Gate->m_BytesLeft = 10;
    m_Gate->m_Exceeded = [this] { ++m_Exceeded; };
  }

  /// Reads at least \p MinBytes; -1 if the stream fails.
  int read(std::size_t MinBytes) {
    int Count = -1;
    kj::runCatchingExceptions([&] {
      Count =
          static_cast<int>(m_Stream.tryRead(m_Buffer, MinBytes, sizeof m_Buffer)
                               .wait(m_Io.waitScope));
    });
    return Count;
  }
  void send(const std::string &Text) {
    m_Pipe.ends[1]->write(Text.data(), Text.size()).wait(m_Io.waitScope);
  }

  kj::AsyncIoContext m_Io = kj::setupAsyncIo();
  kj::TwoWayPipe m_Pipe = m_Io.provider->newTwoWayPipe();
  std::shared_ptr<ProofGate> m_Gate = std::make_shared<ProofGate>();
  GatedStream m_Stream{kj::mv(m_Pipe.ends[0]), m_Gate};
  char m_Buffer[64] = {};
  int m_Exceeded = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatedStreamTest, Fixture)

// Guards against a peer without the cluster key that sends without end.
BOOST_AUTO_TEST_CASE(PeerWithoutProofIsLimited) {
  send(std::string(20, 'x'));
  BOOST_TEST(read(1) == 10);
  BOOST_TEST(m_Exceeded == 0);
  BOOST_TEST(read(1) == -1);
  BOOST_TEST(m_Exceeded == 1);
}

// Guards against a wait for, and the memory of, a message that is too large.
BOOST_AUTO_TEST_CASE(AnnouncedMessageAboveLimitFailsAtOnce) {
  BOOST_TEST(read(11) == -1);
  BOOST_TEST(m_Exceeded == 1);
}

// Guards against limits for peers that know the cluster key.
BOOST_AUTO_TEST_CASE(PeerWithProofIsNotLimited) {
  send("12345");
  BOOST_TEST(read(5) == 5);
  m_Gate->m_IsProved = true;
  send(std::string(40, 'x'));
  BOOST_TEST(read(40) == 40);
  BOOST_TEST(m_Exceeded == 0);
}

BOOST_AUTO_TEST_SUITE_END()
