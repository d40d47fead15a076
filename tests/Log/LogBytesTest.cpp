#include "LogMemberHarness.h"

#include <numeric>
#include <string>

/// \file
/// What the log keeps in memory and sends is limited in bytes, not only in
/// entries: one entry may be as large as a whole catalogue.

namespace ragwortmux::test {

namespace {

constexpr std::size_t PayloadBytes = 100;
constexpr std::size_t MaxInFlight = 350;

ReplicatedLogSettings smallSettings() {
  ReplicatedLogSettings Settings;
  Settings.m_MaxAppendBytes = 150;
  Settings.m_MaxInFlightBytes = MaxInFlight;
  Settings.m_TrailingBytes = 300;
  return Settings;
}

/// A leader of three whose member "b" replies.
struct Fixture {
  Fixture() : m_Leader({1}, {}, smallSettings()) {
    m_Leader.becomeLeader();
    m_Leader.acknowledge(last(), 1);
    m_Leader.removeActions<SendMessage>();
  }

  std::uint64_t last() { return m_Leader.log().log().last().m_Index.value(); }

  void propose(std::size_t Count) {
    for (; Count > 0; --Count) {
      BOOST_REQUIRE(m_Leader.log().propose(m_Leader.m_Now,
                                           std::string(PayloadBytes, 'x')));
      m_Leader.persist();
    }
  }

  /// Sums up the payloads sent to "b" since the last call; \p Newest is then
  /// the last entry sent.
  std::size_t takeSentBytes(std::uint64_t &Newest) {
    std::size_t Bytes = 0;
    for (const SendMessage &Send : m_Leader.removeActions<SendMessage>()) {
      const auto *Request =
          std::get_if<AppendRequest>(&Send.m_Envelope.m_Message);
      if (Request == nullptr || Send.m_Envelope.m_To != Other)
        continue;
      for (const LogEntry &Entry : Request->m_Entries) {
        Bytes += Entry.m_Payload.size();
        Newest = std::max(Newest, Entry.m_Id.m_Index.value());
      }
    }
    return Bytes;
  }

  LogMemberHarness m_Leader;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogBytesTest, Fixture)

// Guards against a leader that sends a member its whole log at once, loses its
// quorum meanwhile, and is followed by one that does the same.
BOOST_AUTO_TEST_CASE(BytesUnderWayToMemberAreLimited) {
  constexpr std::size_t Entries = 50;
  propose(Entries);
  std::uint64_t Newest = 0;
  std::size_t Sent = takeSentBytes(Newest);
  std::size_t Total = Sent;
  while (Sent > 0) {
    BOOST_TEST(Sent <= MaxInFlight + PayloadBytes);
    m_Leader.acknowledge(Newest, 1);
    Sent = takeSentBytes(Newest);
    Total += Sent;
  }
  BOOST_TEST(Newest == last());
  BOOST_TEST(Total == Entries * PayloadBytes);
}

// An entry larger than the limit is sent on its own.
BOOST_AUTO_TEST_CASE(EntryBeyondLimitIsSentAlone) {
  std::uint64_t Newest = 0;
  takeSentBytes(Newest);
  BOOST_REQUIRE(m_Leader.log().propose(m_Leader.m_Now,
                                       std::string(10 * MaxInFlight, 'x')));
  m_Leader.persist();
  propose(1);
  BOOST_TEST(takeSentBytes(Newest) == 10 * MaxInFlight);
  m_Leader.acknowledge(Newest, 1);
  BOOST_TEST(takeSentBytes(Newest) == PayloadBytes);
}

BOOST_AUTO_TEST_CASE(TrailingEntriesAreLimitedInBytes) {
  constexpr std::size_t Entries = 20;
  propose(Entries);
  std::uint64_t Newest = 0;
  while (takeSentBytes(Newest) > 0)
    m_Leader.acknowledge(Newest, 1);
  BOOST_TEST(m_Leader.log().log().payloadBytes() == Entries * PayloadBytes);
  const LogIndex Applied = m_Leader.log().appliedIndex();
  BOOST_REQUIRE(m_Leader.log().takeSnapshot(m_Leader.m_Now, Applied, "state"));
  BOOST_TEST(m_Leader.log().log().payloadBytes() <=
             smallSettings().m_TrailingBytes);
  BOOST_TEST(m_Leader.log().log().payloadBytes() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux::test
