#include "bench/EntryHosts/CallerStandIn.h"

#include "platform/WireText.h"
#include "platform/Words.h"
#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Loop/SystemClock.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace words = platform::words;
using platform::consumeWord;

namespace {

/// A statement without an answer for this long counts as lost.
constexpr Duration AnswerTimeout = std::chrono::seconds(4);
/// Pause before the next connection attempt.
constexpr Duration ReconnectPause = std::chrono::milliseconds(100);
/// One of this many statements writes.
constexpr std::uint64_t StatementsPerWrite = 10;

} // namespace

CallerStandIn::CallerStandIn(IoLoop &Loop, std::string Name,
                             std::string Database, HostChooser Chooser,
                             std::uint16_t Port, Duration Pause,
                             OutcomeCounts &Outcomes)
    : m_Loop(Loop), m_Name(std::move(Name)), m_Database(std::move(Database)),
      m_Chooser(std::move(Chooser)), m_Port(Port), m_Pause(Pause),
      m_Outcomes(Outcomes) {}

CallerStandIn::~CallerStandIn() = default;

void CallerStandIn::start() {
  m_Loop.spawn(m_Loop.connect(m_Chooser(m_Attempt++), m_Port)
                   .then(
                       [this](kj::Own<kj::AsyncIoStream> &&Stream) {
                         platform::LineStreamHooks Hooks;
                         Hooks.m_Line = [this](std::string_view Line) {
                           handleLine(Line);
                         };
                         Hooks.m_Closed = [this](const std::string &) {
                           handleEnd();
                         };
                         m_Stream = std::make_shared<platform::LineStream>(
                             m_Loop, kj::mv(Stream), std::move(Hooks));
                         m_Stream->write(fmt::format("{} {} {}{}",
                                                     words::Startup, m_Database,
                                                     m_Name, words::LineEnd));
                       },
                       [this](kj::Exception &&) { handleEnd(); }));
}

void CallerStandIn::handleLine(std::string_view Line) {
  const std::string_view Word = consumeWord(Line);
  if (Word == words::Complete) {
    m_Outcome = "answered";
  } else if (Word == words::Error) {
    // ERROR, the platform's code, the result code's number and its name.
    consumeWord(Line);
    consumeWord(Line);
    m_Outcome = std::string(consumeWord(Line));
    if (!m_IsAwaiting) {
      count("connection refused with " + m_Outcome);
      m_Outcome.clear();
    }
  } else if (Word == words::Ready) {
    handleReady();
  }
}

void CallerStandIn::handleReady() {
  if (m_IsAwaiting) {
    m_IsAwaiting = false;
    count(m_Outcome);
  }
  m_Outcome.clear();
  const Duration Left = std::max(Duration(0), m_DueAt - monotonicNow());
  m_Loop.after(Left, [this, Attempt = m_Attempt] {
    if (Attempt == m_Attempt) {
      send();
    }
  });
}

void CallerStandIn::handleEnd() {
  if (m_IsAwaiting) {
    m_IsAwaiting = false;
    count("lost");
  }
  // The stream is destroyed on a later turn, because its hook may run now.
  m_Loop.after(ReconnectPause, [this, Old = std::exchange(m_Stream, nullptr)] {
    if (!m_IsFinishing) {
      start();
    }
  });
}

void CallerStandIn::send() {
  if (m_IsFinishing || m_IsAwaiting || m_Stream == nullptr) {
    return;
  }
  m_IsAwaiting = true;
  m_DueAt = monotonicNow() + m_Pause;
  const std::uint64_t Number = ++m_Sent;
  const bool Writes = Number % StatementsPerWrite == 0;
  m_Stream->write(fmt::format("{} {}-{} {} item{}{}", words::Query, m_Name,
                              Number, Writes ? words::Write : words::Read,
                              Writes ? " value" : "", words::LineEnd));
  m_Loop.after(AnswerTimeout, [this, Number] { checkAnswer(Number); });
}

void CallerStandIn::checkAnswer(std::uint64_t Number) {
  if (m_IsAwaiting && Number == m_Sent) {
    handleEnd();
  }
}

void CallerStandIn::count(const std::string &Outcome) { ++m_Outcomes[Outcome]; }

} // namespace ragwortmux
