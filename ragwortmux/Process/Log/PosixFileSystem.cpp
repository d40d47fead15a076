#include "ragwortmux/Process/Log/PosixFileSystem.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace ragwortmux {

namespace {

constexpr const char *LockName = "lock";
constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0700;
constexpr std::size_t ReadChunkBytes = std::size_t{1} << 16;

/// Repeats \p Call while a signal interrupts it (EINTR).
template <typename Function> auto retryOnInterrupt(const Function &Call) {
  auto Result = Call();
  while (Result < 0 && errno == EINTR)
    Result = Call();
  return Result;
}

/// Describes the failure of \p Operation with the reason from errno.
std::string describeFailure(const std::string &Operation) {
  return Operation + ": " + std::generic_category().message(errno);
}

/// Makes the directory entries of the folder at \p Path durable.
bool syncFolderAt(const std::string &Path) {
  const int Fd = ::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Fd < 0)
    return false;
  const bool Synced = ::fsync(Fd) == 0;
  ::close(Fd);
  return Synced;
}

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor final {
public:
  explicit FileDescriptor(int Fd) : m_Fd(Fd) {}
  ~FileDescriptor() {
    if (m_Fd >= 0)
      ::close(m_Fd);
  }
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;

  int fd() const { return m_Fd; }
  bool isValid() const { return m_Fd >= 0; }

private:
  const int m_Fd; ///< The descriptor; negative if opening failed.
};

class PosixAppendFile final : public AppendFile {
public:
  explicit PosixAppendFile(int Fd) : m_File(Fd) {}

  bool append(std::string_view Bytes) override {
    while (!Bytes.empty()) {
      const ssize_t Written = retryOnInterrupt(
          [&] { return ::write(m_File.fd(), Bytes.data(), Bytes.size()); });
      if (Written <= 0)
        return fail("write");
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
    return true;
  }

  // Not retried: after a failed sync the kernel may have discarded the dirty
  // pages, so that a second sync would succeed without writing them.
  bool sync() override {
    return ::fdatasync(m_File.fd()) == 0 || fail("fdatasync");
  }
  std::string lastReason() const override { return m_LastReason; }

private:
  bool fail(const std::string &Operation) {
    m_LastReason = describeFailure(Operation);
    return false;
  }

  const FileDescriptor m_File; ///< The open file.
  std::string m_LastReason;    ///< See lastReason().
};

class PosixFolderLock final : public FolderLock {
public:
  explicit PosixFolderLock(int Fd) : m_File(Fd) {}
  bool tryLock() {
    return retryOnInterrupt(
               [&] { return ::flock(m_File.fd(), LOCK_EX | LOCK_NB); }) == 0;
  }
  bool isValid() const { return m_File.isValid(); }

private:
  const FileDescriptor m_File; ///< Closing it releases the lock.
};

} // namespace

PosixFileSystem::PosixFileSystem(std::string Folder)
    : m_Folder(std::move(Folder)) {}

std::unique_ptr<FolderLock> PosixFileSystem::lock() {
  const bool IsCreated = ::mkdir(m_Folder.c_str(), FolderMode) == 0;
  if ((!IsCreated && errno != EEXIST) ||
      (IsCreated && !syncFolderAt(m_Folder + "/.."))) {
    fail("mkdir " + m_Folder);
    return nullptr;
  }
  auto Lock = std::make_unique<PosixFolderLock>(
      ::open(path(LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!Lock->isValid() || !Lock->tryLock()) {
    fail("lock " + path(LockName));
    return nullptr;
  }
  return Lock;
}

std::optional<std::vector<std::string>> PosixFileSystem::list() {
  DIR *Folder = ::opendir(m_Folder.c_str());
  if (!Folder) {
    fail("opendir " + m_Folder);
    return std::nullopt;
  }
  std::vector<std::string> Names;
  while (const dirent *Entry = ::readdir(Folder)) {
    const std::string Name = Entry->d_name;
    if (Name != "." && Name != ".." && Name != LockName)
      Names.push_back(Name);
  }
  ::closedir(Folder);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::optional<std::string> PosixFileSystem::read(const std::string &Name) {
  const FileDescriptor File(::open(path(Name).c_str(), O_RDONLY | O_CLOEXEC));
  if (!File.isValid()) {
    fail("open " + path(Name));
    return std::nullopt;
  }
  std::string Bytes;
  std::array<char, ReadChunkBytes> Chunk;
  while (true) {
    const ssize_t Read = retryOnInterrupt(
        [&] { return ::read(File.fd(), Chunk.data(), Chunk.size()); });
    if (Read < 0) {
      fail("read " + path(Name));
      return std::nullopt;
    }
    if (Read == 0)
      return Bytes;
    Bytes.append(Chunk.data(), static_cast<std::size_t>(Read));
  }
}

std::unique_ptr<AppendFile>
PosixFileSystem::openAppend(const std::string &Name) {
  const int Fd = ::open(path(Name).c_str(),
                        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
  if (Fd >= 0)
    return std::make_unique<PosixAppendFile>(Fd);
  fail("open " + path(Name));
  return nullptr;
}

bool PosixFileSystem::truncate(const std::string &Name, std::uint64_t Size) {
  const FileDescriptor File(::open(path(Name).c_str(), O_WRONLY | O_CLOEXEC));
  if (!File.isValid() ||
      retryOnInterrupt([&] {
        return ::ftruncate(File.fd(), static_cast<off_t>(Size));
      }) != 0 ||
      ::fsync(File.fd()) != 0)
    return fail("truncate " + path(Name));
  return true;
}

bool PosixFileSystem::rename(const std::string &From, const std::string &To) {
  return ::rename(path(From).c_str(), path(To).c_str()) == 0 ||
         fail("rename " + path(From));
}

bool PosixFileSystem::remove(const std::string &Name) {
  return ::unlink(path(Name).c_str()) == 0 || fail("unlink " + path(Name));
}

bool PosixFileSystem::syncFolder() {
  return syncFolderAt(m_Folder) || fail("sync " + m_Folder);
}

std::string PosixFileSystem::path(const std::string &Name) const {
  return m_Folder + "/" + Name;
}

bool PosixFileSystem::fail(const std::string &Operation) {
  m_LastReason = describeFailure(Operation);
  return false;
}

} // namespace ragwortmux
