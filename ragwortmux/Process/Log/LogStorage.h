#ifndef RAGWORTMUX_PROCESS_LOG_LOGSTORAGE_H
#define RAGWORTMUX_PROCESS_LOG_LOGSTORAGE_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Process/Log/LogAction.h"
#include "ragwortmux/Process/Log/LogSegments.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortmux {

/// Settings of a LogStorage.
struct LogStorageSettings final {
  /// Name of the cluster. A folder of another cluster is refused.
  std::string m_ClusterName;
  /// If set, a folder of another voter and a blank folder are refused.
  std::optional<VoterId> m_ExpectedVoter;
  /// A new segment file is started once the current one is larger than this.
  std::size_t m_SegmentBytes = std::size_t{16} << 20;
  /// Payload bytes after which a batch of entries is written and synced.
  std::size_t m_BatchBytes = std::size_t{8} << 20;
  /// Returns random numbers, uniform over all 64 bits and not reproducible: the
  /// identity of a new folder is made from them. Required.
  std::function<std::uint64_t()> m_Random;
  /// Called with a message for the log about each repair; may be empty.
  std::function<void(const std::string &)> m_OnRepair;
};

/// Stores the state of one member of the replicated log in a data folder:
/// identity, term and vote, segments with entries, and the newest snapshot.
///
/// After a failed write all further writes are refused (fail-stop), because the
/// content of the disk is unknown until the folder is opened again.
class LogStorage final {
public:
  /// Accesses the data folder through \p Files.
  LogStorage(LogStorageSettings Settings, std::unique_ptr<FileSystem> Files);
  ~LogStorage();

  /// Locks the folder and loads it; a blank folder gets a new identity. Returns
  /// null and sets lastCode() and lastReason() on failure. To be called once.
  std::optional<LogInitialState> open();

  /// Makes \p Change durable. Returns false on failure. The failure is
  /// permanent, and the owner must call ReplicatedLog::persistFailed.
  bool persist(const PersistLog &Change);

  /// After a failed write: removes data that was written but is not known to be
  /// durable, so that the folder can be opened again. Syncing this data again
  /// would not help: a sync that succeeds after a failed one does not guarantee
  /// that the earlier data is durable. Returns false and sets lastReason() on
  /// failure.
  bool discardUnsynced();

  /// Code of the last failure.
  ResultCode lastCode() const { return m_LastCode; }
  /// The reason of the last failure.
  const std::string &lastReason() const { return m_LastReason; }

private:
  bool initializeFolder(const std::vector<std::string> &Names);
  bool isPartiallyInitialized(const std::vector<std::string> &Names);
  bool removeTemporaryFiles(std::vector<std::string> &Names);
  bool loadIdentity();
  bool loadHardState();
  bool loadSnapshot(const std::vector<std::string> &Names);
  bool loadEntries(const std::vector<std::string> &Names);

  bool appendEntries(const PersistLog &Change);
  bool saveSnapshot(const LogSnapshot &Snapshot);
  bool replaceFile(const std::string &Name, const std::string &Record);
  std::optional<std::string> readFile(const std::string &Name);
  bool fail(ResultCode Code, const std::string &Reason);
  bool failWrite() {
    return fail(ResultCode::LogWriteFailed, m_Files->lastReason());
  }
  bool failSegments() {
    return fail(m_Segments.lastCode(), m_Segments.lastReason());
  }

  const LogStorageSettings m_Settings;       ///< As passed to the constructor.
  const std::unique_ptr<FileSystem> m_Files; ///< The data folder.
  std::unique_ptr<FolderLock> m_Lock;        ///< Lock of the data folder.
  LogSegments m_Segments;     ///< Segment files with the entries.
  std::string m_SnapshotName; ///< File of the newest snapshot; empty: none.
  LogInitialState m_Loaded;   ///< Filled by open() and returned by it.
  bool m_IsUsable = false;    ///< True while open and no write has failed.

  ResultCode m_LastCode = ResultCode::Ok; ///< See lastCode().
  std::string m_LastReason;               ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_LOGSTORAGE_H
