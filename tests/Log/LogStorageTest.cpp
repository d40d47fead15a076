#include "ragwortmux/Process/Log/LogStorage.h"

#include "ragwortmux/Process/Log/LogFrame.h"
#include "ragwortmux/Process/Log/PosixFileSystem.h"
#include "tests/Log/FakeDisk.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <limits>
#include <ostream>
#include <random>

namespace {

using namespace ragwortmux;
using boost::unit_test::label;

/// A process that has opened a data folder.
struct OpenedFolder final {
  std::vector<std::string> m_RepairMessages; ///< Messages about repairs.
  std::unique_ptr<LogStorage> m_Storage;     ///< The opened folder.
  std::optional<LogInitialState> m_Loaded;   ///< Null if open() has failed.
};

LogStorageSettings settings(const std::string &Cluster = "test") {
  LogStorageSettings Settings;
  Settings.m_ClusterName = Cluster;
  Settings.m_SegmentBytes = 150;
  Settings.m_BatchBytes = 15;
  Settings.m_Random = [Next = std::uint64_t{7}]() mutable { return ++Next; };
  return Settings;
}

std::unique_ptr<OpenedFolder> open(const std::shared_ptr<FakeDisk> &Disk,
                                   LogStorageSettings Settings = settings()) {
  auto Opened = std::make_unique<OpenedFolder>();
  Settings.m_OnRepair = [Raw = Opened.get()](const std::string &Message) {
    Raw->m_RepairMessages.push_back(Message);
  };
  Opened->m_Storage = std::make_unique<LogStorage>(
      std::move(Settings), std::make_unique<FakeFileSystem>(Disk));
  Opened->m_Loaded = Opened->m_Storage->open();
  return Opened;
}

LogEntry entry(std::uint64_t Index, std::uint64_t Term) {
  LogEntry Entry;
  Entry.m_Id = {LogIndex(Index), LogTerm(Term)};
  Entry.m_Kind = LogEntryKind::Payload;
  Entry.m_Payload = "payload " + std::to_string(Index);
  return Entry;
}

std::shared_ptr<const LogSnapshot> snapshot(std::uint64_t Index,
                                            std::uint64_t Term) {
  LogMembership Members;
  Members.m_Members = {{VoterId("a"), "host", true}};
  return std::make_shared<const LogSnapshot>(
      LogSnapshot{{LogIndex(Index), LogTerm(Term)}, Members, "state"});
}

PersistLog change(std::uint64_t Term, std::vector<LogEntry> Append) {
  PersistLog Change;
  Change.m_HardState = LogHardState{LogTerm(Term), VoterId("a")};
  Change.m_Append = std::move(Append);
  return Change;
}

/// A sequence of changes that covers all kinds of them.
std::vector<PersistLog> sampleChanges() {
  std::vector<PersistLog> Changes;
  Changes.push_back(change(1, {entry(1, 1), entry(2, 1), entry(3, 1)}));
  Changes.push_back(change(2, {entry(4, 2), entry(5, 2), entry(6, 2)}));
  Changes.push_back(change(3, {entry(5, 3), entry(6, 3)}));
  Changes.back().m_TruncateFrom = LogIndex(5);
  Changes.push_back(change(3, {entry(7, 3)}));
  Changes.back().m_Snapshot = snapshot(6, 3);
  Changes.back().m_CompactTo = EntryId{LogIndex(5), LogTerm(3)};
  Changes.push_back(change(4, {entry(21, 4)}));
  Changes.back().m_Snapshot = snapshot(20, 4);
  Changes.back().m_ReplaceLog = true;
  // Enough for several segments, with two records in the last one.
  for (std::uint64_t Index = 22; Index < 32; Index += 2)
    Changes.push_back(change(5, {entry(Index, 5), entry(Index + 1, 5)}));
  return Changes;
}

/// The expected content of a data folder: everything that a voter must not
/// lose.
struct Model final {
  LogHardState m_Hard;             ///< Term and vote.
  EntryId m_Snapshot;              ///< Last entry of the snapshot.
  std::vector<LogEntry> m_Entries; ///< Entries after the snapshot.

  void apply(const PersistLog &Change) {
    m_Hard = Change.m_HardState.value_or(m_Hard);
    if (Change.m_Snapshot)
      m_Snapshot = Change.m_Snapshot->m_Last;
    if (Change.m_ReplaceLog)
      m_Entries.clear();
    std::erase_if(m_Entries, [&](const LogEntry &Entry) {
      return Entry.m_Id.m_Index <= m_Snapshot.m_Index ||
             (Change.m_TruncateFrom &&
              Entry.m_Id.m_Index >= *Change.m_TruncateFrom);
    });
    m_Entries.insert(m_Entries.end(), Change.m_Append.begin(),
                     Change.m_Append.end());
  }

  static Model of(const LogInitialState &State) {
    Model Result{State.m_HardState, State.m_Snapshot.m_Last, State.m_Entries};
    std::erase_if(Result.m_Entries, [&](const LogEntry &Entry) {
      return Entry.m_Id.m_Index <= Result.m_Snapshot.m_Index;
    });
    return Result;
  }

  friend bool operator==(const Model &, const Model &) = default;
};

/// A disk on which the first \p Count sample changes are durable.
std::shared_ptr<FakeDisk> sampleDisk(std::size_t Count) {
  auto Disk = std::make_shared<FakeDisk>();
  const std::unique_ptr<OpenedFolder> Writer = open(Disk);
  const std::vector<PersistLog> Changes = sampleChanges();
  for (std::size_t Number = 0; Number < Count; ++Number)
    BOOST_REQUIRE(Writer->m_Storage->persist(Changes[Number]));
  return Disk;
}

// --- Loading

BOOST_DATA_TEST_CASE(LoadsPersistedChanges, boost::unit_test::data::xrange(11),
                     Count) {
  Model Expected;
  for (int Number = 0; Number < Count; ++Number)
    Expected.apply(sampleChanges()[Number]);
  const std::unique_ptr<OpenedFolder> Reader = open(sampleDisk(Count));
  BOOST_REQUIRE(Reader->m_Loaded);
  BOOST_CHECK(Model::of(*Reader->m_Loaded) == Expected);
  BOOST_CHECK(Reader->m_RepairMessages.empty());
}

BOOST_AUTO_TEST_CASE(RetainsIdentityAndCreatesNewOneOnBlankDisk,
                     *label("promise-9")) {
  const std::shared_ptr<FakeDisk> Disk = sampleDisk(1);
  const VoterId Id = open(Disk)->m_Loaded->m_Self;
  BOOST_CHECK(open(Disk)->m_Loaded->m_Self == Id);
  LogStorageSettings Other = settings();
  Other.m_Random = [] { return std::uint64_t{99}; };
  BOOST_CHECK(open(std::make_shared<FakeDisk>(), Other)->m_Loaded->m_Self !=
              Id);
}

// --- Corrupt files

struct DamageRow final {
  const char *m_Name;                       ///< Name of the case.
  std::function<void(FakeDisk &)> m_Damage; ///< Corrupts a sample disk.
  ResultCode m_Code;                        ///< Expected code.
  const char *m_Reason; ///< Part of the expected reason or repair message.

  friend std::ostream &operator<<(std::ostream &Out, const DamageRow &Row) {
    return Out << Row.m_Name;
  }
};

std::string nameOf(const FakeDisk &Disk, const std::string &Prefix, bool Last) {
  std::string Found;
  for (const auto &[Name, Content] : Disk.m_Current)
    if (Name.starts_with(Prefix) && (Last || Found.empty()))
      Found = Name;
  return Found;
}

std::string &bytes(FakeDisk &Disk, const std::string &Prefix,
                   bool Last = true) {
  return Disk.m_Current.at(nameOf(Disk, Prefix, Last))->m_Bytes;
}

void flip(std::string &Bytes, std::size_t At) { Bytes[At] ^= 1; }

const DamageRow DamageRows[] = {
    {"last record truncated",
     [](FakeDisk &Disk) { bytes(Disk, "segment").pop_back(); }, ResultCode::Ok,
     "truncated an incomplete last record"},
    {"last record has a corrupt byte",
     [](FakeDisk &Disk) {
       flip(bytes(Disk, "segment"), bytes(Disk, "segment").size() - 3);
     },
     ResultCode::Ok, "truncated an incomplete last record"},
    {"zeros after the last record",
     [](FakeDisk &Disk) { bytes(Disk, "segment").append(40, '\0'); },
     ResultCode::Ok, "truncated an incomplete last record"},
    {"new segment without a header",
     [](FakeDisk &Disk) {
       Disk.m_Current["segment-0000000000000099"] =
           std::make_shared<FakeDisk::File>();
     },
     ResultCode::Ok, "truncated an incomplete last record"},
    {"corrupt byte in the middle of the last segment",
     [](FakeDisk &Disk) { flip(bytes(Disk, "segment"), 60); },
     ResultCode::LogCorrupt, "incomplete record or wrong checksum at byte"},
    {"corrupt length in the header of the last segment",
     [](FakeDisk &Disk) { flip(bytes(Disk, "segment"), 5); },
     ResultCode::LogCorrupt, "incomplete record or wrong checksum at byte 0"},
    {"earlier segment truncated",
     [](FakeDisk &Disk) { bytes(Disk, "segment", false).pop_back(); },
     ResultCode::LogCorrupt, "incomplete record or wrong checksum at byte"},
    {"middle segment is missing",
     [](FakeDisk &Disk) {
       const std::string First = nameOf(Disk, "segment", false);
       Disk.m_Current.erase(std::next(Disk.m_Current.find(First)));
     },
     ResultCode::LogCorrupt, "is missing"},
    {"all segments are missing",
     [](FakeDisk &Disk) {
       std::erase_if(Disk.m_Current, [](const auto &NameAndFile) {
         return NameAndFile.first.starts_with("segment");
       });
     },
     ResultCode::LogCorrupt, "no segment file"},
    {"state file is missing",
     [](FakeDisk &Disk) { Disk.m_Current.erase("state"); },
     ResultCode::LogCorrupt, ""},
    {"state file has a corrupt byte",
     [](FakeDisk &Disk) { flip(bytes(Disk, "state"), 20); },
     ResultCode::LogCorrupt, "state: incomplete record or wrong checksum"},
    {"state file is outdated",
     [](FakeDisk &Disk) {
       bytes(Disk, "state") = bytes(*sampleDisk(1), "state");
     },
     ResultCode::LogCorrupt, "state: its term is older"},
    {"snapshot is missing",
     [](FakeDisk &Disk) {
       Disk.m_Current.erase(nameOf(Disk, "snapshot", true));
     },
     ResultCode::LogCorrupt, "no snapshot covers"},
    {"snapshot has a corrupt byte",
     [](FakeDisk &Disk) { flip(bytes(Disk, "snapshot"), 30); },
     ResultCode::LogCorrupt, "incomplete record or wrong checksum"},
    {"identity has a corrupt byte",
     [](FakeDisk &Disk) { flip(bytes(Disk, "identity"), 30); },
     ResultCode::LogCorrupt, "identity: incomplete record or wrong checksum"},
    {"identity is missing",
     [](FakeDisk &Disk) { Disk.m_Current.erase("identity"); },
     ResultCode::WrongIdentity, "identity file is missing"},
    {"identity of another cluster",
     [](FakeDisk &Disk) {
       const auto Other = std::make_shared<FakeDisk>();
       open(Other, settings("other"));
       bytes(Disk, "identity") = bytes(*Other, "identity");
     },
     ResultCode::WrongIdentity, "cluster other"},
    {"file of an unknown format version",
     [](FakeDisk &Disk) {
       std::string Record = encodeRecord(LogHardState());
       Record[0] = 9;
       bytes(Disk, "state") = encodeFrame(Record);
     },
     ResultCode::LogCorrupt, "state: unknown record type or format version"},
};

BOOST_DATA_TEST_CASE(TruncatesTornTailAndRefusesOtherCorruption, DamageRows,
                     Row) {
  const std::shared_ptr<FakeDisk> Disk = sampleDisk(sampleChanges().size());
  Row.m_Damage(*Disk);
  const std::unique_ptr<OpenedFolder> Reader = open(Disk);
  BOOST_CHECK_EQUAL(Reader->m_Loaded.has_value(), Row.m_Code == ResultCode::Ok);
  BOOST_CHECK(Reader->m_Storage->lastCode() == Row.m_Code);
  const std::string Reported = Reader->m_RepairMessages.empty()
                                   ? Reader->m_Storage->lastReason()
                                   : Reader->m_RepairMessages.front();
  BOOST_CHECK_MESSAGE(Reported.find(Row.m_Reason) != std::string::npos,
                      Reported);
}

BOOST_AUTO_TEST_CASE(RefusesFolderOfAnotherVoter, *label("promise-9")) {
  LogStorageSettings Settings = settings();
  Settings.m_ExpectedVoter = VoterId("another");
  for (const std::shared_ptr<FakeDisk> &Disk :
       {sampleDisk(1), std::make_shared<FakeDisk>()}) {
    const std::unique_ptr<OpenedFolder> Reader = open(Disk, Settings);
    BOOST_CHECK(!Reader->m_Loaded);
    BOOST_CHECK(Reader->m_Storage->lastCode() == ResultCode::WrongIdentity);
  }
}

// --- Crashes

/// How a process crashes.
struct CrashRow final {
  bool m_IsAfterEffect;  ///< True: after the effect of the failed operation.
  bool m_IsMachineCrash; ///< True: the machine crashes too, and unsynced data
                         ///< may be lost.

  friend std::ostream &operator<<(std::ostream &Out, const CrashRow &Row) {
    return Out << (Row.m_IsAfterEffect ? "after" : "before") << ", "
               << (Row.m_IsMachineCrash ? "machine" : "process");
  }
};

const CrashRow CrashRows[] = {
    {false, false}, {false, true}, {true, false}, {true, true}};

/// Writes the sample changes until the operation \p FailAt fails. Returns true
/// if it did. \p Before and \p After are then the states before and after the
/// failed change.
bool writeUntil(const std::shared_ptr<FakeDisk> &Disk, std::uint64_t FailAt,
                bool AfterEffect, Model &Before, Model &After) {
  Disk->injectFailure(FailAt, AfterEffect);
  const std::unique_ptr<OpenedFolder> Writer = open(Disk);
  if (!Writer->m_Loaded)
    return true;
  for (const PersistLog &Change : sampleChanges()) {
    After.apply(Change);
    if (!Writer->m_Storage->persist(Change)) {
      BOOST_CHECK(Writer->m_Storage->lastCode() == ResultCode::LogWriteFailed);
      BOOST_CHECK(!Writer->m_Storage->persist(Change));
      return true;
    }
    Before = After;
  }
  return false;
}

/// True if \p Found is a valid state between \p Before and \p After: no entry
/// that both contain is lost.
bool isBetween(const Model &Found, const Model &Before, const Model &After) {
  if (Found.m_Hard != Before.m_Hard && Found.m_Hard != After.m_Hard)
    return false;
  for (const LogEntry &Entry : Before.m_Entries) {
    const bool Covered = Entry.m_Id.m_Index <= Found.m_Snapshot.m_Index;
    const auto Has = [&](const Model &Candidate) {
      return std::find(Candidate.m_Entries.begin(), Candidate.m_Entries.end(),
                       Entry) != Candidate.m_Entries.end();
    };
    if (Has(After) && !Covered && !Has(Found))
      return false;
  }
  return Found.m_Snapshot.m_Index >= Before.m_Snapshot.m_Index;
}

BOOST_DATA_TEST_CASE(RetainsConfirmedChangesAfterCrashAtAnyOperation, CrashRows,
                     Row) {
  std::mt19937_64 Random(1);
  bool Failed = true;
  std::uint64_t FailAt = 0;
  for (; Failed; ++FailAt) {
    for (int Try = 0; Try < 20; ++Try) {
      const auto Disk = std::make_shared<FakeDisk>();
      Model Before;
      Model After;
      Failed = writeUntil(Disk, FailAt, Row.m_IsAfterEffect, Before, After);
      Disk->clearFault();
      if (Row.m_IsMachineCrash)
        Disk->loseUnsynced([&] { return Random(); });
      const std::unique_ptr<OpenedFolder> Reader = open(Disk);
      BOOST_REQUIRE_MESSAGE(Reader->m_Loaded,
                            "operation " << FailAt << ": "
                                         << Reader->m_Storage->lastReason());
      BOOST_REQUIRE_MESSAGE(
          isBetween(Model::of(*Reader->m_Loaded), Before, After),
          "operation " << FailAt);
    }
  }
  BOOST_CHECK_GT(FailAt, 50);
}

BOOST_AUTO_TEST_CASE(RefusesWritesAfterDiskWasFull) {
  const std::shared_ptr<FakeDisk> Disk = sampleDisk(1);
  const std::unique_ptr<OpenedFolder> Writer = open(Disk);
  Disk->m_FreeBytes = 100;
  const std::vector<PersistLog> Changes = sampleChanges();
  BOOST_CHECK(!Writer->m_Storage->persist(Changes[1]));
  BOOST_CHECK(Writer->m_Storage->lastCode() == ResultCode::LogWriteFailed);
  Disk->m_FreeBytes = 100000;
  BOOST_CHECK(!Writer->m_Storage->persist(Changes[1]));
}

/// Opens the folder of \p Disk again after a failed write and appends an entry,
/// which fails too while the disk is full. Null if the folder cannot be opened.
std::unique_ptr<OpenedFolder>
reopenAndAppend(const std::shared_ptr<FakeDisk> &Disk,
                std::unique_ptr<OpenedFolder> Failed) {
  if (Failed->m_Loaded && !Failed->m_Storage->discardUnsynced())
    return Failed;
  Failed = nullptr;
  auto Next = open(Disk);
  if (!Next->m_Loaded)
    return Next;
  const Model Found = Model::of(*Next->m_Loaded);
  const EntryId Last =
      Found.m_Entries.empty() ? Found.m_Snapshot : Found.m_Entries.back().m_Id;
  const std::uint64_t Term = Found.m_Hard.m_Term.value();
  BOOST_CHECK(!Next->m_Storage->persist(
      change(Term, {entry(Last.m_Index.value() + 1, Term)})));
  return Next;
}

// Guards against a voter that loses entries which it has acknowledged, or that
// never takes part again: its disk is full when a segment is started, and still
// full when the folder is opened again.
BOOST_AUTO_TEST_CASE(RetainsConfirmedChangesWhileDiskStaysFull,
                     *label("promise-9")) {
  constexpr std::uint64_t AllBytes = 4000;
  constexpr int Attempts = 3;
  for (std::uint64_t Room = 0; Room < AllBytes; Room += 3) {
    BOOST_TEST_CONTEXT("room for " << Room << " bytes") {
      const auto Disk = std::make_shared<FakeDisk>();
      Disk->m_FreeBytes = Room;
      Model Before;
      Model After;
      std::unique_ptr<OpenedFolder> Folder = open(Disk);
      for (const PersistLog &Change : sampleChanges()) {
        After.apply(Change);
        if (!Folder->m_Loaded || !Folder->m_Storage->persist(Change))
          break;
        Before = After;
      }
      if (Before == After)
        break;
      for (int Attempt = 0; Attempt < Attempts; ++Attempt)
        Folder = reopenAndAppend(Disk, std::move(Folder));
      Disk->m_FreeBytes = std::numeric_limits<std::uint64_t>::max();
      BOOST_REQUIRE(!Folder->m_Loaded || Folder->m_Storage->discardUnsynced());
      Folder = nullptr;
      const std::unique_ptr<OpenedFolder> Reader = open(Disk);
      BOOST_REQUIRE_MESSAGE(Reader->m_Loaded, Reader->m_Storage->lastReason());
      BOOST_CHECK(isBetween(Model::of(*Reader->m_Loaded), Before, After));
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesFolderLockedByAnotherProcess, *label("promise-9")) {
  const std::shared_ptr<FakeDisk> Disk = sampleDisk(1);
  const std::unique_ptr<OpenedFolder> First = open(Disk);
  BOOST_CHECK(!open(Disk)->m_Loaded);
}

// --- Files on a real file system

BOOST_AUTO_TEST_CASE(PersistsAndLocksOnRealFileSystem, *label("promise-9")) {
  std::string Folder = (std::filesystem::temp_directory_path() / "log-XXXXXX");
  BOOST_REQUIRE(::mkdtemp(Folder.data()));
  const auto Open = [&] {
    auto Opened = std::make_unique<OpenedFolder>();
    Opened->m_Storage = std::make_unique<LogStorage>(
        settings(), std::make_unique<PosixFileSystem>(Folder + "/data"));
    Opened->m_Loaded = Opened->m_Storage->open();
    return Opened;
  };
  Model Expected;
  {
    const std::unique_ptr<OpenedFolder> Writer = Open();
    BOOST_REQUIRE_MESSAGE(Writer->m_Loaded, Writer->m_Storage->lastReason());
    for (const PersistLog &Change : sampleChanges()) {
      BOOST_REQUIRE_MESSAGE(Writer->m_Storage->persist(Change),
                            Writer->m_Storage->lastReason());
      Expected.apply(Change);
    }
    const std::unique_ptr<OpenedFolder> Second = Open();
    BOOST_CHECK(!Second->m_Loaded);
    BOOST_CHECK(Second->m_Storage->lastReason().find("lock") !=
                std::string::npos);
  }
  const std::unique_ptr<OpenedFolder> Reader = Open();
  BOOST_REQUIRE(Reader->m_Loaded);
  BOOST_CHECK(Model::of(*Reader->m_Loaded) == Expected);
  std::filesystem::remove_all(Folder);
}

} // namespace
