#include "tests/StandIn/StandInReplicationReceiver.h"

#include "tests/StandIn/PgFrontendBytes.h"
#include "tests/StandIn/StandInServer.h"

#include <kj/debug.h>

namespace ragwortmux::standin {

namespace {

constexpr auto ReconnectDelay = 50 * kj::MILLISECONDS;
/// A stream without data for this long is reconnected. The sender's
/// KeepAliveInterval is shorter.
constexpr auto SilenceTimeout = 1 * kj::SECONDS;

/// The start-up message and the query that start a replication stream.
std::string openingMessages(Term StreamTerm, const std::string &Runs) {
  const std::string Options =
      "-c ragwortmux.term=" + std::to_string(StreamTerm.value());
  return pgStartupBytes(PgVersion3, pgStringBytes({"replication", "standin",
                                                   "options", Options, ""})) +
         pgMessageBytes('Q', pgStringBytes({Runs}));
}

} // namespace

StandInReplicationReceiver::StandInReplicationReceiver(StandInServer &Server)
    : m_Server(Server) {}

void StandInReplicationReceiver::follow(Term StreamTerm,
                                        const std::string &Address,
                                        std::uint16_t Port) {
  if (StreamTerm == m_Term && Address == m_Address && Port == m_Port) {
    return;
  }
  stop();
  m_Term = StreamTerm;
  m_Address = Address;
  m_Port = Port;
  m_ReadTask = connectLoop().eagerlyEvaluate(nullptr);
  m_ApplyTask = applyLoop().eagerlyEvaluate(nullptr);
}

void StandInReplicationReceiver::stop() {
  m_ReadTask = nullptr;
  m_ApplyTask = nullptr;
  m_Stream = nullptr;
  m_Received.clear();
  m_Port = 0;
}

kj::Promise<void> StandInReplicationReceiver::connectLoop() {
  // Reconnects no matter why the stream ended.
  return kj::evalNow([this] { return connect(); })
      .catch_([](kj::Exception &&) {})
      .then([this] { return m_Server.timer().afterDelay(ReconnectDelay); })
      .then([this] { return connectLoop(); });
}

kj::Promise<void> StandInReplicationReceiver::connect() {
  // The primary sends entries again that were received but not applied.
  m_Received.clear();
  m_Generation = m_Server.silentGeneration();
  return m_Server.network()
      .parseAddress(m_Address, m_Port)
      .then([this](kj::Own<kj::NetworkAddress> Address) {
        auto Connected = Address->connect();
        return Connected.attach(kj::mv(Address));
      })
      .then([this](kj::Own<kj::AsyncIoStream> Stream) {
        m_Stream = kj::mv(Stream);
        m_Bytes = openingMessages(
            m_Term, encodeTermRuns(m_Server.context().m_Store.termRuns()));
        return m_Stream->write(m_Bytes.data(), m_Bytes.size());
      })
      .then([this] { return readFrames(); });
}

kj::Promise<void> StandInReplicationReceiver::readFrames() {
  return readBytes(StandInFrameHeaderBytes)
      .then([this] { return readBytes(frameLength(m_Bytes)); })
      .then([this]() -> kj::Promise<void> {
        auto Frame = decodeFrame(m_Bytes);
        if (!Frame) {
          return KJ_EXCEPTION(FAILED, "received a malformed replication frame");
        }
        handleFrame(std::move(*Frame));
        return readFrames();
      });
}

kj::Promise<void> StandInReplicationReceiver::readBytes(std::size_t Count) {
  m_Bytes.resize(Count);
  // The fault `silent_connections` also affects this stream: it receives no
  // more data and is reconnected after the time-out.
  auto Read = m_Generation == m_Server.silentGeneration()
                  ? m_Stream->read(m_Bytes.data(), Count)
                  : kj::Promise<void>(kj::NEVER_DONE);
  return m_Server.timer().timeoutAfter(SilenceTimeout, kj::mv(Read));
}

void StandInReplicationReceiver::handleFrame(StandInFrame Frame) {
  if (Frame.m_Kind == StandInFrameKind::Start) {
    m_Server.context().m_Store.adoptHistory(Frame.m_Entry.m_Point.m_Term,
                                            Frame.m_Entry.m_Point.m_Position);
  } else if (Frame.m_Kind == StandInFrameKind::Entry) {
    m_Received.push_back({m_Server.now(), std::move(Frame.m_Entry)});
    m_Server.notifyChange();
  }
}

kj::Promise<void> StandInReplicationReceiver::applyLoop() {
  StandInContext &Context = m_Server.context();
  const bool Stopped = Context.m_Faults.value("stop_replication") != 0;
  const Duration Lag = Context.m_Faults.duration("lag_ms");
  while (!Stopped && !m_Received.empty() &&
         m_Received.front().m_ReceivedAt + Lag <= m_Server.now()) {
    Context.m_Store.apply(m_Received.front().m_Entry);
    m_Received.pop_front();
  }
  const Instant Next = m_Received.empty() || Stopped
                           ? m_Server.now() + std::chrono::hours(1)
                           : m_Received.front().m_ReceivedAt + Lag;
  return m_Server.waitForChange(Next).then([this] { return applyLoop(); });
}

} // namespace ragwortmux::standin
