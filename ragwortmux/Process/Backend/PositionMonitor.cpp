#include "ragwortmux/Process/Backend/PositionMonitor.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"

#include <utility>

namespace ragwortmux {

namespace {

/// How long the server waits for a new position before it answers a query.
constexpr std::chrono::milliseconds QueryTimeout(100);
/// Time without an answer, after QueryTimeout, before the connection is
/// considered lost.
constexpr std::chrono::milliseconds SilenceTimeout(250);
/// Pause before the next connection attempt.
constexpr std::chrono::milliseconds ReconnectPause(100);
/// Size limit of the answer to a query or call.
constexpr std::size_t MaxAnswerBytes = 4096;
/// Index of the role column in the rows of the position functions.
constexpr std::size_t RoleColumn = 2;

} // namespace

PositionMonitor::PositionMonitor(IoLoop &Loop,
                                 BackendConnectionSettings Settings,
                                 Hooks Callbacks)
    : m_Loop(Loop), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Callbacks)) {}

PositionMonitor::~PositionMonitor() = default;

void PositionMonitor::start() { connect(); }

void PositionMonitor::stop() {
  m_Stopped = true;
  m_Connection = nullptr;
  // Report to the callers of pending calls that these will not be made.
  std::deque<Call> PendingCalls = std::move(m_Calls);
  m_Calls.clear();
  if (m_RunningCall) {
    std::exchange(m_RunningCall, nullptr)(std::nullopt);
  }
  for (Call &PendingCall : PendingCalls) {
    PendingCall.m_Reply(std::nullopt);
  }
}

void PositionMonitor::call(std::string Sql, CallReply Reply) {
  m_Calls.push_back({std::move(Sql), std::move(Reply)});
}

void PositionMonitor::connect() {
  if (m_Stopped || m_Connection != nullptr) {
    return;
  }
  if (!m_Hooks.m_CanConnect()) {
    m_Loop.after(ReconnectPause, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->connect();
      }
    });
    return;
  }
  BackendConnection::Hooks Callbacks;
  Callbacks.m_Opened = [this] { startNextExchange(); };
  Callbacks.m_Failed = [this](const std::string &, const std::string &) {
    handleFailure();
  };
  Callbacks.m_Lost = [this](const std::string &) { handleFailure(); };
  Callbacks.m_Answered = [this](StatementResult Result) {
    handleResult(std::move(Result));
  };
  m_Connection = BackendConnection::open(m_Loop, m_Settings, Callbacks);
}

void PositionMonitor::startNextExchange() {
  ++m_Exchange;
  if (m_Calls.empty()) {
    sendQuery();
    return;
  }
  Call Next = std::move(m_Calls.front());
  m_Calls.pop_front();
  m_RunningCall = std::move(Next.m_Reply);
  armSilenceTimer();
  m_Connection->execute(Next.m_Sql, MaxAnswerBytes);
}

void PositionMonitor::sendQuery() {
  m_QuerySentAt = monotonicNow();
  armSilenceTimer();
  m_Connection->execute("SELECT ragwortmux_wait_position(" +
                            std::to_string(m_LastPosition.value()) + ", " +
                            std::to_string(QueryTimeout.count()) + ")",
                        MaxAnswerBytes);
}

void PositionMonitor::handleResult(StatementResult Result) {
  if (m_RunningCall) {
    std::exchange(m_RunningCall, nullptr)(std::move(Result));
  } else {
    const auto Point = parseRowPoint(Result);
    if (!Point || Result.m_FirstRow.size() <= RoleColumn) {
      handleFailure();
      return;
    }
    m_LastPosition = Point->m_Position;
    m_Hooks.m_Sampled(*Point, Result.m_FirstRow[RoleColumn] == "primary",
                      m_QuerySentAt);
  }
  // A hook may have called stop().
  if (m_Connection != nullptr) {
    startNextExchange();
  }
}

void PositionMonitor::handleFailure() {
  if (m_Stopped) {
    return;
  }
  m_Connection = nullptr;
  // After a restart, the log of the server may be shorter.
  m_LastPosition = LogPosition();
  if (m_RunningCall) {
    std::exchange(m_RunningCall, nullptr)(std::nullopt);
  }
  std::deque<Call> PendingCalls = std::move(m_Calls);
  m_Calls.clear();
  for (Call &PendingCall : PendingCalls) {
    PendingCall.m_Reply(std::nullopt);
  }
  m_Hooks.m_Failed();
  m_Loop.after(ReconnectPause, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock()) {
      Self->connect();
    }
  });
}

void PositionMonitor::armSilenceTimer() {
  // An established connection may stay silent although new connections to the
  // server would work.
  m_Loop.after(QueryTimeout + SilenceTimeout, [Weak = weak_from_this(),
                                               Exchange = m_Exchange] {
    const auto Self = Weak.lock();
    if (Self && Self->m_Exchange == Exchange && Self->m_Connection != nullptr) {
      Self->handleFailure();
    }
  });
}

} // namespace ragwortmux
