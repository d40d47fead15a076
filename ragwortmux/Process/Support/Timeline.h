#ifndef RAGWORTMUX_PROCESS_SUPPORT_TIMELINE_H
#define RAGWORTMUX_PROCESS_SUPPORT_TIMELINE_H

#include "ragwortmux/Process/Support/TimelineEvent.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>

namespace ragwortmux {

/// Where and how a process writes its time line.
struct TimelineSettings final {
  std::filesystem::path m_Folder; ///< Folder of the files; empty = off.
  HostId m_Host;                  ///< Host named in each event and file.
  std::uint64_t m_MaxFileBytes = 16U << 20U; ///< Size at which a file ends.
  std::uint32_t m_MaxFiles = 4; ///< Files kept, the current one included.
};

/// The events of one process, written as JSON lines to `HOST.jsonl`; earlier
/// files are `HOST.1.jsonl` and so on. Safe for use by several threads.
///
/// The owner calls flush() every FlushInterval and at shutdown. A fault of the
/// file system is logged once and loses events, nothing else.
class Timeline final {
public:
  /// How often the owner flushes.
  static constexpr Duration FlushInterval = std::chrono::milliseconds(100);
  /// Size of the buffer at which record() flushes by itself.
  static constexpr std::size_t MaxBufferedBytes = 256U << 10U;

  /// \p Clock stamps the events and must outlive the time line.
  Timeline(TimelineSettings Settings, HybridClock &Clock);
  ~Timeline();

  Timeline(const Timeline &) = delete;
  Timeline &operator=(const Timeline &) = delete;

  /// Buffers \p Event after setting its clock and host.
  void record(TimelineEvent Event);

  /// Writes what is buffered.
  void flush();

  /// True if events are written at all.
  bool isEnabled() const { return !m_Settings.m_Folder.empty(); }

private:
  void writeBuffer();
  bool openFile();
  void rotateFiles();
  std::filesystem::path filePath(std::uint32_t Age) const;
  void reportFault(const std::string &Operation);

  const TimelineSettings m_Settings; ///< Where and how to write.
  HybridClock &m_Clock;              ///< Stamps the events.
  std::mutex m_Mutex;                ///< Guards all members below.
  std::string m_Buffer;              ///< Lines not yet written.
  std::ofstream m_File;              ///< The current file.
  std::uint64_t m_FileBytes = 0;     ///< Its size.
  bool m_HasReportedFault = false;   ///< A fault was logged.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_TIMELINE_H
