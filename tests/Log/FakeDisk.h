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
    std::string m_Bytes;      ///< Content that a process reads.
    std::size_t m_Synced = 0; ///< Number of durable bytes, from the start.
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  /// Number of the first operation that fails. All later ones fail too, until
  /// clearFault().
  std::uint64_t m_FailAt = std::numeric_limits<std::uint64_t>::max();
  /// True: the first failing operation takes effect before it reports failure.
  bool m_FailAfterwards = false;
  /// Free space in bytes.
  std::uint64_t m_FreeBytes = std::numeric_limits<std::uint64_t>::max();
  /// True while a FakeFileSystem holds the lock.
  bool m_Locked = false;
  /// Files that a process sees.
  Names m_Current;

  /// Counts an operation and performs it unless it must fail.
  bool operate(const std::function<bool()> &Operation) {
    const std::uint64_t Number = m_Count++;
    if (Number > m_FailAt)
      return false;
    if (Number < m_FailAt)
      return Operation();
    if (m_FailAfterwards)
      Operation();
    return false;
  }

  /// Ends the injected failure.
  void clearFault() { m_FailAt = std::numeric_limits<std::uint64_t>::max(); }

  /// True if an injected failure has occurred since the last clearFault().
  bool hasFailed() const { return m_Count > m_FailAt; }

  /// Injects a failure after \p Later more operations. See m_FailAfterwards.
  void failLater(std::uint64_t Later, bool Afterwards) {
    m_FailAt = m_Count + Later;
    m_FailAfterwards = Afterwards;
  }

  /// Simulates a crash of the machine: \p Random decides which of the changes
  /// that are not durable remain.
  void loseUnsynced(const std::function<std::uint64_t()> &Random) {
    Names Left;
    for (const auto &[Name, Content] : m_Durable)
      if (m_Current.contains(Name) || Random() % 2 == 0)
        Left[Name] = Content;
    for (const auto &[Name, Content] : m_Current) {
      const auto Found = Left.find(Name);
      if ((Found == Left.end() || Found->second != Content) &&
          Random() % 2 == 0)
        Left[Name] = Content;
    }
    for (auto &[Name, Content] : Left)
      tear(*Content, Random);
    m_Current = Left;
    m_Durable = Left;
  }

  /// Makes all file names durable.
  void syncNames() { m_Durable = m_Current; }

private:
  static void tear(File &Content,
                   const std::function<std::uint64_t()> &Random) {
    const std::size_t Loose = Content.m_Bytes.size() - Content.m_Synced;
    if (Loose == 0)
      return;
    const std::size_t Kept = Random() % (Loose + 1);
    Content.m_Bytes.resize(Content.m_Synced + Kept);
    // An unwritten page reads as zeros.
    if (Kept > 0 && Random() % 2 == 0)
      Content.m_Bytes[Content.m_Synced + Random() % Kept] = 0;
    Content.m_Synced = Content.m_Bytes.size();
  }

  Names m_Durable;           ///< Files whose names survive a crash.
  std::uint64_t m_Count = 0; ///< Number of operations so far.
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
    return m_Disk->operate([&] {
      FakeDisk::File &Content = *m_Disk->m_Current.at(Name);
      Content.m_Bytes.resize(Size);
      Content.m_Synced = Size;
      return true;
    });
  }
  bool rename(const std::string &From, const std::string &To) override {
    return m_Disk->operate([&] {
      m_Disk->m_Current[To] = m_Disk->m_Current.at(From);
      m_Disk->m_Current.erase(From);
      return true;
    });
  }
  bool remove(const std::string &Name) override {
    return m_Disk->operate([&] { return m_Disk->m_Current.erase(Name) == 1; });
  }
  bool syncFolder() override {
    return m_Disk->operate([&] {
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
      return m_Disk->operate([&] {
        const bool Fits = Bytes.size() <= m_Disk->m_FreeBytes;
        const std::size_t Size = Fits ? Bytes.size() : m_Disk->m_FreeBytes;
        m_Content->m_Bytes.append(Bytes.substr(0, Size));
        m_Disk->m_FreeBytes -= Size;
        return Fits;
      });
    }
    bool sync() override {
      return m_Disk->operate([&] {
        m_Content->m_Synced = m_Content->m_Bytes.size();
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
