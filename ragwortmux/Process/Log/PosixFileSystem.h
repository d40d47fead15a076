#ifndef RAGWORTMUX_PROCESS_LOG_POSIXFILESYSTEM_H
#define RAGWORTMUX_PROCESS_LOG_POSIXFILESYSTEM_H

#include "ragwortmux/Process/Log/FileSystem.h"

namespace ragwortmux {

/// FileSystem on a folder of a POSIX file system.
class PosixFileSystem final : public FileSystem {
public:
  /// lock() creates \p Folder if it does not exist; its parent must exist.
  explicit PosixFileSystem(std::string Folder);

  std::unique_ptr<FolderLock> lock() override;
  std::optional<std::vector<std::string>> list() override;
  std::optional<std::string> read(const std::string &Name) override;
  std::unique_ptr<AppendFile> openAppend(const std::string &Name) override;
  bool truncate(const std::string &Name, std::uint64_t Size) override;
  bool rename(const std::string &From, const std::string &To) override;
  bool remove(const std::string &Name) override;
  bool syncFolder() override;
  std::string lastReason() const override { return m_LastReason; }

private:
  std::string path(const std::string &Name) const;
  bool fail(const std::string &Operation);

  const std::string m_Folder; ///< Path of the folder.
  std::string m_LastReason;   ///< See lastReason().
};

} // namespace ragwortmux

#endif // RAGWORTMUX_PROCESS_LOG_POSIXFILESYSTEM_H
