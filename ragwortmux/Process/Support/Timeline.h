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
  std::uint64_t m_MaxFileBytes = 16U << 20U; ///< Rotation threshold.
  std::uint32_t m_MaxFiles = 4; ///< Files retained, including the current one.
};

/// Writes the events of one process as JSON lines to `HOST.jsonl`; rotated
/// files are `HOST.1.jsonl` and so on. Thread-safe.
///
/// The owner calls flush() every FlushInterval and at shutdown. A file system
/// error is logged once and loses events but has no other effect.
class Timeline final {
public:
  /// Interval at which the owner calls flush().
  static constexpr Duration FlushInterval = std::chrono::milliseconds(100);
  /// Size of the buffer at which record() writes it without flush().
  static constexpr std::size_t MaxBufferedBytes = 256U << 10U;

  /// \p Clock stamps the events and must outlive the time line.
  Timeline(TimelineSettings Settings, HybridClock &Clock);
  ~Timeline();

  Timeline(const Timeline &) = delete;
  Timeline &operator=(const Timeline &) = delete;

  /// Buffers \p Event after setting its clock and host.
  void record(TimelineEvent Event);

  /// Writes the buffered events to the file.
  void flush();

  /// True if a folder is set, so that events are written.
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
  std::uint64_t m_FileBytes = 0;     ///< Size of the current file.
  bool m_HasReportedFault = false;   ///< True once a fault was logged.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_SUPPORT_TIMELINE_H
