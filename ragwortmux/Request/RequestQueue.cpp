#include "ragwortmux/Request/RequestQueue.h"

#include <algorithm>
#include <vector>

namespace ragwortmux {

namespace {

/// Limit of requests of one owner and class that one run tries; bounds the work
/// per event while many queued requests cannot run.
constexpr std::size_t MaxTriesPerOwner = 32;

/// Keys of \p Map, starting after \p Last and wrapping around.
template <typename Key, typename Value>
std::vector<Key> keysAfter(const std::map<Key, Value> &Map, const Key &Last) {
  std::vector<Key> Keys;
  Keys.reserve(Map.size());
  for (const auto &[Name, Content] : Map)
    Keys.push_back(Name);
  std::rotate(Keys.begin(), std::upper_bound(Keys.begin(), Keys.end(), Last),
              Keys.end());
  return Keys;
}

} // namespace

/// Progress of one run through the requests of one owner.
struct RequestQueue::RunProgress final {
  std::map<EntryName, RequestId> m_Last; ///< Last request tried, by entry.
  std::set<EntryName> m_Full; ///< Entries of which no more request is tried.
  std::size_t m_Count = 0;    ///< Number of requests tried.
};

void RequestQueue::add(const CatalogueEntry &Entry, RequestId Request) {
  ClassQueue &Class = m_Classes[static_cast<std::size_t>(Entry.m_Class)];
  Class.m_Owners[Entry.m_Owner].m_Entries[Entry.m_Name].insert(Request);
}

void RequestQueue::remove(const CatalogueEntry &Entry, RequestId Request) {
  ClassQueue &Class = m_Classes[static_cast<std::size_t>(Entry.m_Class)];
  const auto Owner = Class.m_Owners.find(Entry.m_Owner);
  if (Owner == Class.m_Owners.end())
    return;
  const auto Queue = Owner->second.m_Entries.find(Entry.m_Name);
  if (Queue == Owner->second.m_Entries.end())
    return;
  Queue->second.erase(Request);
  if (Queue->second.empty())
    Owner->second.m_Entries.erase(Queue);
  if (Owner->second.m_Entries.empty())
    Class.m_Owners.erase(Owner);
}

void RequestQueue::run(const TryRun &Try) {
  for (ClassQueue &Class : m_Classes)
    runClass(Class, Try);
}

bool RequestQueue::empty() const { return size() == 0; }

std::size_t RequestQueue::size() const {
  std::size_t Count = 0;
  for (const ClassQueue &Class : m_Classes) {
    for (const auto &[Owner, Queue] : Class.m_Owners) {
      for (const auto &[Entry, Requests] : Queue.m_Entries)
        Count += Requests.size();
    }
  }
  return Count;
}

TryResult RequestQueue::tryNext(ClassQueue &Class, const OwnerId &Owner,
                                RunProgress &Progress, const TryRun &Try) {
  const auto Found = Class.m_Owners.find(Owner);
  if (Found == Class.m_Owners.end())
    return TryResult::NotYet;
  OwnerQueue &Queue = Found->second;
  for (const EntryName &Entry : keysAfter(Queue.m_Entries, Queue.m_LastEntry)) {
    if (Progress.m_Full.contains(Entry))
      continue;
    EntryQueue &Requests = Queue.m_Entries[Entry];
    const auto Last = Progress.m_Last.find(Entry);
    auto Next = Last == Progress.m_Last.end()
                    ? Requests.begin()
                    : Requests.upper_bound(Last->second);
    while (Next != Requests.end() && Progress.m_Count < MaxTriesPerOwner) {
      ++Progress.m_Count;
      const RequestId Request = *Next;
      Progress.m_Last[Entry] = Request;
      const TryResult Result = Try(Request);
      if (Result == TryResult::NotYet) {
        ++Next;
        continue;
      }
      if (Result == TryResult::EntryFull) {
        Progress.m_Full.insert(Entry);
        break;
      }
      if (Result == TryResult::Dispatched) {
        Requests.erase(Next);
        Queue.m_LastEntry = Entry;
        if (Requests.empty())
          Queue.m_Entries.erase(Entry);
        if (Queue.m_Entries.empty())
          Class.m_Owners.erase(Found);
      }
      return Result;
    }
  }
  return TryResult::NotYet;
}

void RequestQueue::runClass(ClassQueue &Class, const TryRun &Try) {
  std::map<OwnerId, RunProgress> Progress;
  // Runs one request per owner and round until no request of a round can run.
  for (bool RanOne = true; RanOne;) {
    RanOne = false;
    for (const OwnerId &Owner : keysAfter(Class.m_Owners, Class.m_LastOwner)) {
      const TryResult Result = tryNext(Class, Owner, Progress[Owner], Try);
      if (Result == TryResult::ClassFull)
        return;
      if (Result != TryResult::Dispatched)
        continue;
      Class.m_LastOwner = Owner;
      RanOne = true;
    }
  }
}

} // namespace ragwortmux
