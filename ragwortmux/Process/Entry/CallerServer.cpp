#include "ragwortmux/Process/Entry/CallerServer.h"

#include "ragwortmux/Process/Loop/IoLoop.h"
#include "ragwortmux/Process/Support/JsonFields.h"
#include "ragwortmux/Process/Support/KeyText.h"
#include "ragwortmux/Process/Support/Log.h"

#include <array>
#include <utility>

namespace ragwortmux {

CallerServer::CallerServer(IoLoop &Loop, CallerServerSettings Settings,
                           CallerHooks Hooks, Metrics *ProcessMetrics)
    : m_Loop(Loop), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Guard(Loop, Settings.m_Budget, ProcessMetrics) {
  m_Hooks.m_NextId = [this] { return ++m_LastId; };
  m_Hooks.m_IsDraining = [this] { return m_Draining; };
}

CallerServer::~CallerServer() = default;

std::uint16_t CallerServer::listen(const std::string &Address,
                                   std::uint16_t Port) {
  auto Parsed =
      m_Loop.network().parseAddress(Address, Port).wait(m_Loop.waitScope());
  m_Receiver = Parsed->listen();
  m_Loop.spawn(accept());
  return static_cast<std::uint16_t>(m_Receiver->getPort());
}

void CallerServer::answer(const Answer &Response) {
  const auto Found = m_Requests.find(Response.m_Request);
  if (Found == m_Requests.end()) {
    return;
  }
  const auto Connection = Found->second.lock();
  m_Requests.erase(Found);
  if (Connection) {
    Connection->answer(Response);
  }
}

void CallerServer::closeCaller(const CloseCaller &Action) {
  for (const auto &[ProcessId, Connection] : m_Connections) {
    if (Connection->id() != Action.m_Caller) {
      continue;
    }
    // Closing removes the connection from the map, so this copy keeps it alive
    // during the call.
    const auto Target = Connection;
    Target->closeWith(Action.m_Code);
    return;
  }
}

void CallerServer::drain() {
  m_Draining = true;
  const auto Connections = m_Connections;
  for (const auto &[ProcessId, Connection] : Connections) {
    Connection->drain();
  }
}

WorkspaceCounts CallerServer::countByWorkspace() const {
  WorkspaceCounts Counts;
  for (const auto &[ProcessId, Connection] : m_Connections) {
    if (!Connection->workspace().value().empty()) {
      ++Counts[Connection->workspace()];
    }
  }
  return Counts;
}

void CallerServer::logLostKeys(Revision Catalogue) {
  std::map<std::pair<WorkspaceId, KeyDigest>, std::int64_t> Lost;
  for (const auto &[ProcessId, Connection] : m_Connections) {
    if (Connection->noticeLostKey()) {
      ++Lost[{Connection->workspace(), Connection->keyDigest()}];
    }
  }
  for (const auto &[Key, Callers] : Lost) {
    const std::array Fields = {
        LogField{"workspace", toJsonText(Key.first.value())},
        LogField{"key", formatShortDigest(Key.second)},
        LogField{"callers", Callers},
        LogField{"catalogue", static_cast<std::int64_t>(Catalogue.value())}};
    logRecord(LogLevel::Info, Part::Catalogue,
              "A key was taken away from connected callers.", Fields);
  }
}

kj::Promise<void> CallerServer::accept() {
  return m_Receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> Stream) {
        add(kj::mv(Stream));
        return accept();
      },
      [this](kj::Exception &&Error) {
        // The process has probably run out of file descriptors; retry after a
        // pause.
        logWarn(Part::Caller, "Could not accept a caller: {}.",
                Error.getDescription().cStr());
        return m_Loop.timer().afterDelay(100 * kj::MILLISECONDS).then([this] {
          return accept();
        });
      });
}

void CallerServer::add(kj::Own<kj::AsyncIoStream> Stream) {
  // Above the limit the stream is closed before any message was sent, so the
  // caller sees that no connection was established.
  if (m_Connections.size() >= m_Settings.m_MaxCallers) {
    logWarn(Part::Caller, "Refused a caller: {} are connected.",
            m_Connections.size());
    return;
  }
  const std::uint32_t ProcessId = ++m_LastProcessId;
  CallerHooks Hooks = m_Hooks;
  Hooks.m_Closed = [this, ProcessId] { remove(ProcessId); };
  Hooks.m_Submit = [this, ProcessId](GroupRequest Request) {
    m_Requests[Request.m_Id] = m_Connections[ProcessId];
    m_Hooks.m_Submit(std::move(Request));
  };
  // The guard knows a caller by its process id, because the id that the groups
  // know changes with a cancel.
  const CallerConnectionId Guarded(ProcessId);
  Hooks.m_Used = [this, Guarded](const CallerUsage &Usage) {
    m_Guard.update(Guarded, Usage);
  };
  Hooks.m_MayRead = [this, Guarded] { return m_Guard.mayRead(Guarded); };
  auto Connection = std::make_shared<CallerConnection>(
      m_Loop, kj::mv(Stream), ProcessId, m_Random(), m_Settings.m_Reader,
      std::move(Hooks));
  m_Connections[ProcessId] = Connection;
  m_Guard.add(Guarded, guardedCallerHooks(Connection));
  Connection->start();
}

void CallerServer::remove(std::uint32_t ProcessId) {
  const auto Found = m_Connections.find(ProcessId);
  if (Found == m_Connections.end()) {
    return;
  }
  const auto Connection = Found->second;
  m_Connections.erase(Found);
  m_Guard.remove(CallerConnectionId(ProcessId));
  if (const auto Pending = Connection->pendingRequest()) {
    m_Requests.erase(*Pending);
  }
  if (Connection->cancelRequest()) {
    cancel(*Connection->cancelRequest());
  }
}

void CallerServer::cancel(const PgCancelRequest &Request) {
  const auto Found = m_Connections.find(Request.m_ProcessId);
  if (Found == m_Connections.end()) {
    return;
  }
  const auto Connection = Found->second;
  if (const auto Pending = Connection->pendingRequest()) {
    Connection->cancel(Request.m_SecretKey);
    if (!Connection->pendingRequest()) {
      m_Requests.erase(*Pending);
    }
  }
}

} // namespace ragwortmux
