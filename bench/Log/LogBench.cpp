/// \file
/// Measures the replicated log: commit latency and throughput of three voters
/// in one process with separate files, and the time without a leader after a
/// crash in simulated time.

#include "ragwortmux/Process/Log/LogStorage.h"
#include "ragwortmux/Process/Log/PosixFileSystem.h"
#include "ragwortmux/Process/Log/ReplicatedLog.h"
#include "tests/Log/LogNetwork.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>
#include <vector>

DEFINE_string(folder, "", "folder for the files; empty: a temporary one");
DEFINE_uint64(milliseconds, 1000, "time for each row");
DEFINE_uint64(crashes, 1000, "crashes of a leader in simulated time");

namespace {

using namespace ragwortmux;

constexpr std::size_t Voters = 3;

Instant now() {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Quantile \p Share of the values; sorts them.
Duration quantile(std::vector<Duration> &All, double Share) {
  if (All.empty())
    return Duration(0);
  std::sort(All.begin(), All.end());
  return All[static_cast<std::size_t>(Share *
                                      static_cast<double>(All.size() - 1))];
}

/// A voter with real files.
struct Voter final {
  std::unique_ptr<LogStorage> m_Storage; ///< Log files.
  std::unique_ptr<ReplicatedLog> m_Log;  ///< State machine of the log.
  std::optional<PersistLog> m_Persist;   ///< Pending write.
  LogIndex m_Applied;                    ///< Index of the last applied entry.
};

/// Runs three voters; delivers messages without delay and syncs in parallel.
class VoterGroup final {
public:
  explicit VoterGroup(const std::string &Folder) {
    LogMembership Members;
    for (std::size_t Number = 0; Number < Voters; ++Number) {
      Voter Peer;
      LogStorageSettings Settings;
      Settings.m_ClusterName = "bench";
      Settings.m_Random = [this] { return m_Random(); };
      Peer.m_Storage = std::make_unique<LogStorage>(
          Settings, std::make_unique<PosixFileSystem>(Folder + "/" +
                                                      std::to_string(Number)));
      std::optional<LogInitialState> Initial = Peer.m_Storage->open();
      if (!Initial) {
        std::cerr << Peer.m_Storage->lastReason() << "\n";
        std::exit(1);
      }
      Members.m_Members.push_back({Initial->m_Self, "", true});
      ReplicatedLogSettings LogSettings;
      LogSettings.m_Random = Settings.m_Random;
      Peer.m_Log = std::make_unique<ReplicatedLog>(now(), LogSettings,
                                                   std::move(*Initial));
      m_Voters.push_back(std::move(Peer));
    }
    for (Voter &Peer : m_Voters)
      Peer.m_Log->bootstrap(now(), Members);
    while (!leader())
      step();
  }

  /// Voter that is a ready leader; null if there is none.
  Voter *leader() {
    for (Voter &Peer : m_Voters)
      if (Peer.m_Log->isReady())
        return &Peer;
    return nullptr;
  }

  /// Runs due ticks, then all actions and pending writes.
  void step() {
    for (Voter &Peer : m_Voters) {
      if (now() >= Peer.m_Log->nextTick())
        Peer.m_Log->tick(now());
      for (LogAction &Action : Peer.m_Log->takeActions(now()))
        handle(Peer, Action);
    }
    persistAll();
  }

private:
  void handle(Voter &Peer, LogAction &Action) {
    if (auto *Persist = std::get_if<PersistLog>(&Action))
      Peer.m_Persist = std::move(*Persist);
    else if (const auto *Apply = std::get_if<ApplyEntries>(&Action))
      Peer.m_Applied = Apply->m_Entries.back().m_Id.m_Index;
    else if (const auto *Send = std::get_if<SendMessage>(&Action))
      for (Voter &Other : m_Voters)
        Other.m_Log->receive(now(), Send->m_Envelope);
  }

  void persistAll() {
    std::vector<std::pair<Voter *, std::future<bool>>> Running;
    for (Voter &Peer : m_Voters)
      if (Peer.m_Persist)
        Running.emplace_back(&Peer, std::async(std::launch::async, [&Peer] {
          return Peer.m_Storage->persist(*Peer.m_Persist);
        }));
    for (auto &[Peer, Done] : Running) {
      if (!Done.get()) {
        std::cerr << Peer->m_Storage->lastReason() << "\n";
        std::exit(1);
      }
      Peer->m_Log->persisted(now(), Peer->m_Persist->m_Sequence);
      Peer->m_Persist.reset();
    }
  }

  std::mt19937_64 m_Random{1}; ///< For identities and time-outs.
  std::vector<Voter> m_Voters; ///< All voters.
};

/// Measures commits: proposes \p Batch payloads and waits until all are applied
/// before it proposes the next batch.
void measureCommits(VoterGroup &Log, std::size_t PayloadBytes,
                    std::size_t Batch) {
  std::vector<Duration> Latencies;
  const Instant Start = now();
  const Instant End = Start + std::chrono::milliseconds(FLAGS_milliseconds);
  while (now() < End) {
    Voter *Leader = Log.leader();
    if (!Leader) {
      Log.step();
      continue;
    }
    const Instant Begin = now();
    EntryId Last;
    for (std::size_t Proposal = 0; Proposal < Batch; ++Proposal)
      Last = Leader->m_Log->propose(Begin, std::string(PayloadBytes, 'x'))
                 .value_or(Last);
    while (Leader->m_Applied < Last.m_Index && Leader->m_Log->isReady())
      Log.step();
    Latencies.push_back(now() - Begin);
    Leader->m_Log->takeSnapshot(now(), Leader->m_Applied, "");
  }
  const double Seconds = std::chrono::duration<double>(now() - Start).count();
  std::cout << std::setw(8) << PayloadBytes << std::setw(7) << Batch
            << std::setw(12)
            << static_cast<std::uint64_t>(
                   static_cast<double>(Latencies.size() * Batch) / Seconds)
            << std::setw(12) << quantile(Latencies, 0.5).count()
            << std::setw(12) << quantile(Latencies, 0.99).count() << "\n";
}

/// Measures the time from the crash of a leader until the next one is ready.
void measureFailover() {
  std::vector<Duration> Gaps;
  for (std::uint64_t Seed = 1; Seed <= FLAGS_crashes; ++Seed) {
    LogNetworkSettings Settings;
    Settings.m_MaxSyncTime = std::chrono::milliseconds(2);
    LogNetwork Network(Seed, Voters, Settings);
    Network.bootstrap(Voters);
    const auto HasLeader = [&] { return Network.leader() != nullptr; };
    Network.run(std::chrono::seconds(10), HasLeader);
    Network.run(std::chrono::seconds(1));
    if (!HasLeader())
      continue;
    Network.crash(*Network.leader(), false);
    const Instant Crash = Network.now();
    Network.run(std::chrono::seconds(10), HasLeader);
    Gaps.push_back(Network.now() - Crash);
  }
  std::cout << "without a leader after a crash, 5 ms one way, up to 2 ms a "
               "sync, ms: median "
            << quantile(Gaps, 0.5).count() / 1000 << ", 99% "
            << quantile(Gaps, 0.99).count() / 1000 << ", most "
            << quantile(Gaps, 1).count() / 1000 << " of " << Gaps.size()
            << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::string Folder = FLAGS_folder;
  if (Folder.empty()) {
    Folder = std::filesystem::temp_directory_path() / "log-bench-XXXXXX";
    if (!::mkdtemp(Folder.data()))
      return 1;
  }
  std::cout << " payload  batch   commits/s   median us      99% us\n";
  {
    VoterGroup Log(Folder);
    for (std::size_t PayloadBytes : {64, 1024, 16384})
      for (std::size_t Batch : {1, 16, 256})
        measureCommits(Log, PayloadBytes, Batch);
  }
  if (FLAGS_folder.empty())
    std::filesystem::remove_all(Folder);
  measureFailover();
}
