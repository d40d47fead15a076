#ifndef RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H
#define RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortmux {

/// A file that is open for appending.
class AppendFile {
public:
  virtual ~AppendFile() = default;
  /// Adds \p Bytes at the end. False on failure; the file may then hold a part.
  virtual bool append(std::string_view Bytes) = 0;
  /// Makes everything appended so far durable. False on failure.
  virtual bool sync() = 0;
  /// Why the last operation failed.
  virtual std::string lastReason() const = 0;
};

/// A lock on a folder, held until destroyed or until the process ends.
class FolderLock {
public:
  virtual ~FolderLock() = default;
};

/// The file operations that LogStorage needs. Names are relative to one folder.
class FileSystem {
public:
  virtual ~FileSystem() = default;
  /// Makes the folder if need be and locks it against other processes. Null if
  /// that fails.
  virtual std::unique_ptr<FolderLock> lock() = 0;
  /// Names of the files in the folder, sorted; null on failure.
  virtual std::optional<std::vector<std::string>> list() = 0;
  /// The whole file; null on failure.
  virtual std::optional<std::string> read(const std::string &Name) = 0;
  /// Opens a new file, or an old one of that name at its end; null on failure.
  virtual std::unique_ptr<AppendFile> openAppend(const std::string &Name) = 0;
  /// Cuts the file to \p Size bytes and makes that durable.
  virtual bool truncate(const std::string &Name, std::uint64_t Size) = 0;
  /// Gives a file a new name, in place of any file of that name.
  virtual bool rename(const std::string &From, const std::string &To) = 0;
  /// Deletes a file.
  virtual bool remove(const std::string &Name) = 0;
  /// Makes new names and deletions durable.
  virtual bool syncFolder() = 0;
  /// Why the last operation failed.
  virtual std::string lastReason() const = 0;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_FILESYSTEM_H
