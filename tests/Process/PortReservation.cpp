#include "PortReservation.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <filesystem>
#include <string>

namespace ragwortmux {

namespace {

/// First port of the first block.
constexpr unsigned FirstPort = 10000;
/// Number of blocks; the last one ends below port 32768, where Linux's default
/// range of local ports begins.
constexpr unsigned Blocks = 355;

/// True if a listener can be bound to \p Port on the loopback interface.
bool isBindable(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  const bool Bound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0;
  close(Socket);
  return Bound;
}

} // namespace

PortReservation::PortReservation(std::size_t Count) {
  assert(Count <= MaxPorts);
  // Starting at different blocks, tests seldom meet at the same one.
  const auto Start = static_cast<unsigned>(getpid()) % Blocks;
  for (unsigned Step = 0; Step < Blocks; ++Step) {
    const unsigned Block = (Start + Step) % Blocks;
    if (!lockBlock(Block)) {
      continue;
    }
    for (unsigned Index = 0; Index < Count; ++Index) {
      m_Ports.push_back(
          static_cast<std::uint16_t>(FirstPort + Block * MaxPorts + Index));
    }
    if (std::ranges::all_of(m_Ports, isBindable)) {
      return;
    }
    // A process that is no test of this project listens there.
    m_Ports.clear();
    close(m_Lock);
    m_Lock = -1;
  }
}

PortReservation::~PortReservation() {
  if (m_Lock >= 0) {
    close(m_Lock);
  }
}

bool PortReservation::lockBlock(unsigned Block) {
  const std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("ragwortmux-ports-" + std::to_string(Block) + ".lock");
  m_Lock = open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (m_Lock >= 0 && flock(m_Lock, LOCK_EX | LOCK_NB) == 0) {
    return true;
  }
  if (m_Lock >= 0) {
    close(m_Lock);
  }
  m_Lock = -1;
  return false;
}

} // namespace ragwortmux
