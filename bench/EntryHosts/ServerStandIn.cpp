#include "bench/EntryHosts/ServerStandIn.h"

#include "platform/WireText.h"
#include "platform/Words.h"
#include "ragwortmux/Process/Loop/IoLoop.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ragwortmux {

namespace words = platform::words;
using platform::consumeWord;

namespace {

constexpr const char *ListenAddress = "127.0.3.1";

} // namespace

ServerStandIn::ServerStandIn(IoLoop &Loop, GroupStandIn &Group, std::string Id,
                             std::uint32_t MaxConnections)
    : m_Loop(Loop), m_Group(Group), m_Id(std::move(Id)),
      m_MaxConnections(MaxConnections),
      m_Receiver(Loop.network()
                     .parseAddress(ListenAddress, 0)
                     .wait(Loop.waitScope())
                     ->listen()) {
  m_Loop.spawn(accept());
}

ServerStandIn::~ServerStandIn() = default;

std::string ServerStandIn::address() {
  return fmt::format("{}:{}", ListenAddress, m_Receiver->getPort());
}

kj::Promise<void> ServerStandIn::accept() {
  return m_Receiver->accept().then([this](kj::Own<kj::AsyncIoStream> &&Stream) {
    const std::uint64_t Number = ++m_LastNumber;
    platform::LineStreamHooks Hooks;
    Hooks.m_Line = [this, Number](std::string_view Line) {
      handleLine(Number, Line);
    };
    Hooks.m_Closed = [this, Number](const std::string &) { remove(Number); };
    m_Connections[Number] = std::make_shared<platform::LineStream>(
        m_Loop, kj::mv(Stream), std::move(Hooks));
    m_Peak = std::max(m_Peak, m_Connections.size());
    return accept();
  });
}

void ServerStandIn::remove(std::uint64_t Number) {
  // The connection is destroyed on a later turn, because its hook runs now.
  const auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end()) {
    return;
  }
  m_Loop.after(Duration(0), [Removed = Found->second] {});
  m_Connections.erase(Found);
}

void ServerStandIn::handleLine(std::uint64_t Number, std::string_view Line) {
  const auto Found = m_Connections.find(Number);
  if (Found == m_Connections.end()) {
    return;
  }
  platform::LineStream &Stream = *Found->second;
  const std::string_view Word = consumeWord(Line);
  if (Word == words::Startup) {
    if (m_Connections.size() <= m_MaxConnections) {
      Stream.write(ready());
      return;
    }
    ++m_Refused;
    Stream.write(fmt::format("{} {} {}{}", words::Error, words::TooMany, m_Id,
                             words::LineEnd));
    Stream.finish();
    remove(Number);
  } else if (Word == words::Query) {
    consumeWord(Line);
    Stream.write(answer(Line) + ready());
  } else {
    remove(Number);
  }
}

std::string ServerStandIn::answer(std::string_view Statement) {
  std::string_view Word = consumeWord(Statement);
  if (Word == words::Since) {
    consumeWord(Statement);
    Word = consumeWord(Statement);
  }
  const bool IsPrimary = m_Group.m_Primary == m_Id;
  std::string Own =
      fmt::format("{} {}{}", words::Complete, m_Id, words::LineEnd);
  if (Word == words::Status) {
    return fmt::format("{} {} 1 1.{} 0 0 0 1{}{} {}{}", words::Row,
                       IsPrimary ? words::Primary : words::Replica,
                       m_Group.m_Position, words::LineEnd, words::Complete,
                       words::None, words::LineEnd);
  }
  if (Word == words::Read) {
    return fmt::format("{} value{}", words::Row, words::LineEnd) + Own;
  }
  if (Word != words::Write) {
    return fmt::format("{} {}{}", words::Complete, words::None, words::LineEnd);
  }
  if (!IsPrimary) {
    return fmt::format("{} {} {}{}", words::Error, words::ReadOnly, m_Id,
                       words::LineEnd);
  }
  ++m_Group.m_Position;
  return Own;
}

std::string ServerStandIn::ready() const {
  return fmt::format("{} I 1.{}{}", words::Ready, m_Group.m_Position,
                     words::LineEnd);
}

} // namespace ragwortmux
