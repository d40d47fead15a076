#include "tests/StandIn/StandInReplicationSender.h"

#include "tests/StandIn/StandInServer.h"

namespace ragwortmux::standin {

namespace {

constexpr Duration KeepAliveInterval(200'000);
/// No further entry is added to a batch of this size.
constexpr std::size_t BatchBytes = 64UL * 1024;

} // namespace

StandInReplicationSender::StandInReplicationSender(StandInServer &Server,
                                                   Term StreamTerm,
                                                   SendHook Send)
    : m_Server(Server), m_Term(StreamTerm), m_Send(std::move(Send)) {}

kj::Promise<void>
StandInReplicationSender::run(const std::vector<StandInTermRun> &Runs) {
  if (!isPrimaryOfStreamTerm()) {
    return kj::READY_NOW;
  }
  StandInFrame Start{StandInFrameKind::Start, {}};
  const LogPosition CommonPosition =
      m_Server.context().m_Store.commonPosition(Runs);
  Start.m_Entry.m_Point = {m_Term, CommonPosition};
  m_SentPosition = CommonPosition.value();
  return m_Send(encodeFrame(Start)).then([this] { return sendNext(); });
}

kj::Promise<void> StandInReplicationSender::sendNext() {
  if (!isPrimaryOfStreamTerm()) {
    return kj::READY_NOW;
  }
  const auto &Log = m_Server.context().m_Store.log();
  std::string Bytes;
  while (m_SentPosition < Log.size() && Bytes.size() < BatchBytes) {
    Bytes += encodeFrame({StandInFrameKind::Entry, Log[m_SentPosition]});
    ++m_SentPosition;
  }
  if (!Bytes.empty()) {
    return m_Send(std::move(Bytes)).then([this] { return sendNext(); });
  }
  const Instant Deadline = m_Server.now() + KeepAliveInterval;
  return m_Server.waitForChange(Deadline).then([this, Deadline]()
                                                   -> kj::Promise<void> {
    if (m_Server.now() < Deadline) {
      return sendNext();
    }
    return m_Send(encodeFrame({StandInFrameKind::KeepAlive, {}})).then([this] {
      return sendNext();
    });
  });
}

bool StandInReplicationSender::isPrimaryOfStreamTerm() const {
  const StandInStore &Store = m_Server.context().m_Store;
  return Store.role() == StandInRole::Primary && Store.term() == m_Term;
}

} // namespace ragwortmux::standin
