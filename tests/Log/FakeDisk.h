#ifndef TESTS_LOG_FAKEDISK_H
#define TESTS_LOG_FAKEDISK_H

#include "ragwortmux/Process/Log/FileSystem.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ragwortmux {

/// In-memory folder that tracks which data is durable and can inject failures.
class FakeDisk final {
public:
  /// Content of one file.
  struct File final {
    std::string m_Bytes;           ///< Content that a process reads.
    std::size_t m_SyncedBytes = 0; ///< Number of durable bytes, from the start.
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  /// Number of the first operation that fails. All later ones fail too, until
  /// clearFault().
  std::uint64_t m_FailAt = std::numeric_limits<std::uint64_t>::max();
  /// True: the first failing operation takes effect before it reports failure.
  bool m_FailsAfterEffect = false;
  /// Free space in bytes.
  std::uint64_t m_FreeBytes = std::numeric_limits<std::uint64_t>::max();
  /// True while a FakeFileSystem holds the lock.
  bool m_Locked = false;
  /// Files that a process sees.
  Names m_Current;

  /// Counts an operation and performs it unless it must fail.
  bool perform(const std::function<bool()> &Operation) {
    const std::uint64_t Number = m_OperationCount++;
    if (Number > m_FailAt)
      return false;
    if (Number < m_FailAt)
      return Operation();
    if (m_FailsAfterEffect)
      Operation();
    return false;
  }

  /// Number of operations so far.
  std::uint64_t operationCount() const { return m_OperationCount; }

  /// Ends the injected failure.
  void clearFault() { m_FailAt = std::numeric_limits<std::uint64_t>::max(); }

  /// True if an injected failure has occurred since the last clearFault().
  bool hasFailed() const { return m_OperationCount > m_FailAt; }

  /// Injects a failure after \p Operations more operations. See
  /// m_FailsAfterEffect.
  void injectFailure(std::uint64_t Operations, bool AfterEffect) {
    m_FailAt = m_OperationCount + Operations;
    m_FailsAfterEffect = AfterEffect;
  }

  /// Simulates a crash of the machine: \p Random decides which of the changes
  /// that are not durable remain.
  void loseUnsynced(const std::function<std::uint64_t()> &Random) {
    Names Survivors;
    for (const auto &[Name, Content] : m_Durable)
      if (m_Current.contains(Name) || Random() % 2 == 0)
        Survivors[Name] = Content;
    for (const auto &[Name, Content] : m_Current) {
      const auto Found = Survivors.find(Name);
      if ((Found == Survivors.end() || Found->second != Content) &&
          Random() % 2 == 0)
        Survivors[Name] = Content;
    }
    for (auto &[Name, Content] : Survivors)
      tearUnsynced(*Content, Random);
    m_Current = Survivors;
    m_Durable = Survivors;
  }

  /// Makes all file names durable.
  void syncNames() { m_Durable = m_Current; }

private:
  static void tearUnsynced(File &Content,
                           const std::function<std::uint64_t()> &Random) {
    const std::size_t Unsynced = Content.m_Bytes.size() - Content.m_SyncedBytes;
    if (Unsynced == 0)
      return;
    const std::size_t Remaining = Random() % (Unsynced + 1);
    Content.m_Bytes.resize(Content.m_SyncedBytes + Remaining);
    // An unwritten page reads as zeros.
    if (Remaining > 0 && Random() % 2 == 0)
      Content.m_Bytes[Content.m_SyncedBytes + Random() % Remaining] = 0;
    Content.m_SyncedBytes = Content.m_Bytes.size();
  }

  Names m_Durable;                    ///< Files whose names survive a crash.
  std::uint64_t m_OperationCount = 0; ///< Number of operations so far.
};

/// FileSystem on a FakeDisk.
class FakeFileSystem final : public FileSystem {
public:
  explicit FakeFileSystem(std::shared_ptr<FakeDisk> Disk)
      : m_Disk(std::move(Disk)) {}

  std::unique_ptr<FolderLock> lock() override {
    if (m_Disk->m_Locked)
      return nullptr;
    m_Disk->m_Locked = true;
    return std::make_unique<Lock>(m_Disk);
  }
  std::optional<std::vector<std::string>> list() override {
    std::vector<std::string> Names;
    for (const auto &[Name, Content] : m_Disk->m_Current)
      Names.push_back(Name);
    return Names;
  }
  std::optional<std::string> read(const std::string &Name) override {
    const auto Found = m_Disk->m_Current.find(Name);
    if (Found == m_Disk->m_Current.end())
      return std::nullopt;
    return Found->second->m_Bytes;
  }
  std::unique_ptr<AppendFile> openAppend(const std::string &Name) override {
    std::shared_ptr<FakeDisk::File> &Content = m_Disk->m_Current[Name];
    if (!Content)
      Content = std::make_shared<FakeDisk::File>();
    return std::make_unique<OpenFile>(m_Disk, Content);
  }
  bool truncate(const std::string &Name, std::uint64_t Size) override {
    return m_Disk->perform([&] {
      FakeDisk::File &Content = *m_Disk->m_Current.at(Name);
      Content.m_Bytes.resize(Size);
      Content.m_SyncedBytes = Size;
      return true;
    });
  }
  bool rename(const std::string &From, const std::string &To) override {
    return m_Disk->perform([&] {
      m_Disk->m_Current[To] = m_Disk->m_Current.at(From);
      m_Disk->m_Current.erase(From);
      return true;
    });
  }
  bool remove(const std::string &Name) override {
    return m_Disk->perform([&] { return m_Disk->m_Current.erase(Name) == 1; });
  }
  bool syncFolder() override {
    return m_Disk->perform([&] {
      m_Disk->syncNames();
      return true;
    });
  }
  std::string lastReason() const override { return "disk fault"; }

private:
  /// The lock of a FakeDisk.
  class Lock final : public FolderLock {
  public:
    explicit Lock(std::shared_ptr<FakeDisk> Disk) : m_Disk(std::move(Disk)) {}
    ~Lock() override { m_Disk->m_Locked = false; }

  private:
    std::shared_ptr<FakeDisk> m_Disk; ///< The locked folder.
  };

  /// An open file of a FakeDisk.
  class OpenFile final : public AppendFile {
  public:
    OpenFile(std::shared_ptr<FakeDisk> Disk,
             std::shared_ptr<FakeDisk::File> Content)
        : m_Disk(std::move(Disk)), m_Content(std::move(Content)) {}

    bool append(std::string_view Bytes) override {
      return m_Disk->perform([&] {
        const bool Fits = Bytes.size() <= m_Disk->m_FreeBytes;
        const std::size_t Size = Fits ? Bytes.size() : m_Disk->m_FreeBytes;
        m_Content->m_Bytes.append(Bytes.substr(0, Size));
        m_Disk->m_FreeBytes -= Size;
        return Fits;
      });
    }
    bool sync() override {
      return m_Disk->perform([&] {
        m_Content->m_SyncedBytes = m_Content->m_Bytes.size();
        return true;
      });
    }
    std::string lastReason() const override { return "file fault"; }

  private:
    std::shared_ptr<FakeDisk> m_Disk;          ///< The disk of the file.
    std::shared_ptr<FakeDisk::File> m_Content; ///< The file.
  };

  const std::shared_ptr<FakeDisk> m_Disk; ///< The folder.
};

} // namespace ragwortmux

#endif // TESTS_LOG_FAKEDISK_H
