#include "ragwortmux/Process/Support/Timeline.h"

#include "ragwortmux/Process/Support/Log.h"

#include <cassert>
#include <system_error>
#include <utility>

namespace ragwortmux {

Timeline::Timeline(TimelineSettings Settings, HybridClock &Clock)
    : m_Settings(std::move(Settings)), m_Clock(Clock) {
  assert(m_Settings.m_MaxFiles > 0);
}

Timeline::~Timeline() { flush(); }

void Timeline::record(TimelineEvent Event) {
  if (!isEnabled())
    return;
  Event.m_Host = m_Settings.m_Host;
  const std::lock_guard Lock(m_Mutex);

  // The clock is read under the lock, so that the lines of a file are in clock
  // order.
  Event.m_Clock = m_Clock.now();
  m_Buffer += formatTimelineJson(Event);
  m_Buffer += '\n';
  if (m_Buffer.size() >= MaxBufferedBytes)
    writeBuffer();
}

void Timeline::flush() {
  const std::lock_guard Lock(m_Mutex);
  writeBuffer();
}

void Timeline::writeBuffer() {
  if (m_Buffer.empty())
    return;
  const std::string Lines = std::exchange(m_Buffer, {});
  if (!m_File.is_open() && !openFile())
    return;
  m_File.write(Lines.data(), static_cast<std::streamsize>(Lines.size()));
  m_File.flush();
  if (!m_File) {
    reportFault("write");
    m_File.close();
    return;
  }
  m_FileBytes += Lines.size();
  if (m_FileBytes >= m_Settings.m_MaxFileBytes)
    rotateFiles();
}

bool Timeline::openFile() {
  std::error_code Error;
  std::filesystem::create_directories(m_Settings.m_Folder, Error);
  const std::filesystem::path Path = filePath(0);
  const std::uintmax_t Size = std::filesystem::file_size(Path, Error);
  m_FileBytes = Error ? 0 : Size;
  m_File.clear();
  m_File.open(Path, std::ios::binary | std::ios::app);
  if (!m_File) {
    reportFault("open");
    return false;
  }

  // The previous process may have ended in the middle of a line; a line feed
  // separates that line from the first new one.
  if (m_FileBytes > 0) {
    m_File << '\n';
    ++m_FileBytes;
  }
  return true;
}

void Timeline::rotateFiles() {
  m_File.close();
  for (std::uint32_t Age = m_Settings.m_MaxFiles - 1; Age > 0; --Age) {
    std::error_code Error;
    std::filesystem::rename(filePath(Age - 1), filePath(Age), Error);
  }
  if (m_Settings.m_MaxFiles == 1) {
    std::error_code Error;
    std::filesystem::remove(filePath(0), Error);
  }
}

std::filesystem::path Timeline::filePath(std::uint32_t Age) const {
  const std::string Number = Age == 0 ? "" : "." + std::to_string(Age);
  return m_Settings.m_Folder / (m_Settings.m_Host.value() + Number + ".jsonl");
}

void Timeline::reportFault(const std::string &Operation) {
  if (m_HasReportedFault)
    return;
  m_HasReportedFault = true;
  logWarn(Part::Timeline, "Cannot {} {}; events are lost.", Operation,
          filePath(0).string());
}

} // namespace ragwortmux
