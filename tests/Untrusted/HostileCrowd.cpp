#include "HostileCrowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <thread>
#include <utility>

namespace ragwortmux {

namespace {

using Clock = std::chrono::steady_clock;

std::uint64_t statusKb(pid_t Process, std::string_view Field) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.starts_with(Field)) {
      return std::stoull(Line.substr(Field.size()));
    }
  }
  return 0;
}

} // namespace

HostileCrowd::HostileCrowd(CrowdPlan Plan) : m_Plan(std::move(Plan)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(m_Plan.m_Port);
  inet_pton(AF_INET, m_Plan.m_Address.c_str(), &Address.sin_addr);
  for (std::size_t Index = 0; Index < m_Plan.m_Connections; ++Index) {
    Connection Opened;
    Opened.m_Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!m_Plan.m_IsReading) {
      // Otherwise the kernel would hold megabytes of answers for each socket,
      // and the process would not notice that they are not read.
      constexpr int ReceiveBytes = 8192;
      setsockopt(Opened.m_Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
    }
    if (connect(Opened.m_Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
      ::close(Opened.m_Socket);
      continue;
    }
    fcntl(Opened.m_Socket, F_SETFL, O_NONBLOCK);
    m_Connections.push_back(Opened);
  }
}

HostileCrowd::~HostileCrowd() {
  for (const Connection &Current : m_Connections) {
    if (Current.m_Socket >= 0) {
      ::close(Current.m_Socket);
    }
  }
}

void HostileCrowd::run(std::chrono::milliseconds Length) {
  const auto End = Clock::now() + Length;
  bool IsSending = true;
  while (IsSending && Clock::now() < End) {
    IsSending = false;
    for (Connection &Current : m_Connections) {
      IsSending = step(Current) || IsSending;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// Reads what is there and sends the next piece; false if nothing is left to
/// send or the connection is closed.
bool HostileCrowd::step(Connection &Current) const {
  if (Current.m_Socket < 0) {
    return false;
  }
  bool IsBroken = false;
  if (m_Plan.m_IsReading) {
    std::array<char, 65536> Buffer{};
    ssize_t Count = 0;
    while ((Count = recv(Current.m_Socket, Buffer.data(), Buffer.size(), 0)) >
           0) {
    }
    IsBroken = Count == 0 || (errno != EAGAIN && errno != EINTR);
  }
  const bool IsDone =
      Current.m_HasGreeted && Current.m_Sent >= m_Plan.m_Repeats;
  if (!IsBroken && !IsDone && Clock::now() >= Current.m_NextAt) {
    const std::string &Text =
        Current.m_HasGreeted ? m_Plan.m_Message : m_Plan.m_Greeting;
    std::size_t Count = Text.size() - Current.m_Offset;
    if (Current.m_HasGreeted && m_Plan.m_PieceBytes > 0) {
      Count = std::min(Count, m_Plan.m_PieceBytes);
    }
    const ssize_t Sent = send(Current.m_Socket, Text.data() + Current.m_Offset,
                              Count, MSG_NOSIGNAL);
    IsBroken = Sent < 0 && errno != EAGAIN && errno != EINTR;
    Current.m_Offset += Sent > 0 ? static_cast<std::size_t>(Sent) : 0;
    Current.m_NextAt = Clock::now() + m_Plan.m_Pause;
    if (Current.m_Offset == Text.size()) {
      Current.m_Offset = 0;
      Current.m_Sent += Current.m_HasGreeted ? 1 : 0;
      Current.m_HasGreeted = true;
    }
  }
  if (IsBroken) {
    ::close(std::exchange(Current.m_Socket, -1));
    return false;
  }
  return !IsDone;
}

std::uint64_t peakMemoryKb(pid_t Process) {
  return statusKb(Process, "VmHWM:");
}

std::uint64_t residentMemoryKb(pid_t Process) {
  return statusKb(Process, "VmRSS:");
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Error;
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Process) + "/fd", Error);
  return Error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(Entries), end(Entries)));
}

void setLowLimits() {
  constexpr std::array<std::pair<const char *, const char *>, 14> Limits = {{
      {"RAGWORTMUX_CALLER_BUDGET_BYTES", "4194304"},
      {"RAGWORTMUX_CALLER_CONNECTION_BUDGET_BYTES", "2097152"},
      {"RAGWORTMUX_CALLER_WORKSPACE_BUDGET_BYTES", "4194304"},
      {"RAGWORTMUX_CALLER_BUDGET_GRACE_MS", "500"},
      {"RAGWORTMUX_CALLER_MESSAGE_TIMEOUT_MS", "1500"},
      {"RAGWORTMUX_CALLER_ANSWER_TIMEOUT_MS", "1500"},
      {"RAGWORTMUX_CALLER_PIPELINE_MAX", "16"},
      {"RAGWORTMUX_MAX_STARTING_CALLERS", "8"},
      {"RAGWORTMUX_HTTP_MAX_CONNECTIONS", "16"},
      {"RAGWORTMUX_HTTP_BUDGET_BYTES", "2097152"},
      {"RAGWORTMUX_HTTP_REQUEST_TIMEOUT_MS", "1500"},
      {"RAGWORTMUX_RPC_UNPROVED_MAX", "8"},
      {"RAGWORTMUX_RPC_UNPROVED_BYTES", "16384"},
      {"RAGWORTMUX_RPC_PROOF_TIMEOUT_MS", "1500"},
  }};
  for (const auto &[Name, Value] : Limits) {
    setenv(Name, Value, 1);
  }
}

} // namespace ragwortmux
