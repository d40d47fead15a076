#ifndef RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H
#define RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// A file opened for appending.
class AppendFile {
public:
  virtual ~AppendFile() = default;
  /// Appends \p Bytes. Returns false on failure; the file may then contain a
  /// part of them.
  virtual bool append(std::string_view Bytes) = 0;
  /// Makes all appended data durable. Returns false on failure.
  virtual bool sync() = 0;
  /// The reason of the last failure.
  virtual std::string lastReason() const = 0;
};

/// A lock on a folder, released on destruction or at the end of the process.
class FolderLock {
public:
  virtual ~FolderLock() = default;
};

/// File operations that LogStorage needs, on the files of one folder. Names are
/// relative to this folder.
class FileSystem {
public:
  virtual ~FileSystem() = default;
  /// Creates the folder if it does not exist, and locks it against other
  /// processes. Null on failure.
  virtual std::unique_ptr<FolderLock> lock() = 0;
  /// Names of the files in the folder, sorted; null on failure.
  virtual std::optional<std::vector<std::string>> list() = 0;
  /// Content of the whole file; null on failure.
  virtual std::optional<std::string> read(const std::string &Name) = 0;
  /// Opens a file at its end, creating it if it does not exist; null on
  /// failure.
  virtual std::unique_ptr<AppendFile> openAppend(const std::string &Name) = 0;
  /// Truncates the file to \p Size bytes and makes this durable. Returns false
  /// on failure.
  virtual bool truncate(const std::string &Name, std::uint64_t Size) = 0;
  /// Renames a file, replacing any file named \p To. Returns false on failure.
  virtual bool rename(const std::string &From, const std::string &To) = 0;
  /// Deletes a file. Returns false on failure.
  virtual bool remove(const std::string &Name) = 0;
  /// Makes creations, renames and deletions of files durable. Returns false on
  /// failure.
  virtual bool syncFolder() = 0;
  /// The reason of the last failure.
  virtual std::string lastReason() const = 0;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H
