#include "World.h"

#include <filesystem>

/// \file
/// A service with one synchronous replica. Its primary crashes while one
/// replica receives nothing, and the other one starts again under its id.

using namespace review;

int main(int Count, char **Arguments) {
  const std::string RecordPath = Count > 1 ? Arguments[1] : "record.txt";
  const std::string Temporary = Count > 2 ? Arguments[2] : "/tmp";
  limitTime(std::chrono::seconds(110));
  Record Log(RecordPath);
  Log.line(hasTrouble() ? "with the disruption" : "without the disruption");
  World All(Log, Layout(), Temporary);
  Service &Group = All.service();
  Group.m_SyncReplicas = 1;
  Backend &First = Group.add("i-first", All.coreAddress(40), "nasr-city");
  Backend &Second = Group.add("i-second", All.coreAddress(41), "smart-village");
  Backend &Third = Group.add("i-third", All.coreAddress(42), "new-capital");
  std::mutex Mutex;
  std::vector<std::pair<std::string, std::string>> Acknowledged;
  std::atomic<bool> IsBroken = false;
  std::atomic<int> Promotions = 0;
  Group.m_Promoted = [&](const std::string &Id) {
    ++Promotions;
    const std::lock_guard Lock(Mutex);
    for (const auto &[Item, Data] : Acknowledged) {
      if (Group.has(Group.backend(Id), Item, Data))
        continue;
      std::string Text = "BROKEN: the log of ";
      Text.append(Id).append(" lacks the acknowledged write of ").append(Item);
      Log.line(Text);
      IsBroken = true;
    }
  };
  Group.m_Ran = [&](const std::string &Id, const std::string &Statement,
                    const std::string &Text) {
    Log.line("backend " + Id + " runs " + Statement + " " + Text.substr(0, 40));
  };
  if (!All.start())
    return CouldNotRun;

  std::uint64_t Clerks = 0;
  const auto Write = [&](const std::string &Item) {
    for (int Try = 0; Try < 40; ++Try) {
      Client Clerk(Log, "clerk-" + std::to_string(++Clerks));
      const std::string Data = "data" + std::to_string(Try);
      std::string Text = "WRITE ";
      Text.append(Item).append(" ").append(Data);
      if (Clerk.open(All.frontAddress(0), All.frontPort(), "booking") &&
          Clerk.query(Text).m_Ok) {
        const std::lock_guard Lock(Mutex);
        Acknowledged.emplace_back(Item, Data);
        return true;
      }
      std::this_thread::sleep_for(Ms(250));
    }
    return false;
  };
  if (!Write("a1") || !Write("a2"))
    return CouldNotRun;
  std::this_thread::sleep_for(Ms(500));
  // As the site's troubles have it: a replica receives nothing for 6.5 s, and
  // a primary is down for 7 s.
  Log.line("i-third receives nothing from now");
  const auto DeafSince = Clock::now();
  Third.setDeaf(true);
  if (!Write("b1") || !Write("b2") || !Write("b3"))
    return CouldNotRun;
  std::this_thread::sleep_for(Ms(500));
  if (hasTrouble()) {
    Log.line("i-second ends");
    Second.crash();
  }
  Log.line("i-first, the primary, crashes");
  const auto DownSince = Clock::now();
  First.crash();
  std::this_thread::sleep_for(Ms(1500));
  if (hasTrouble()) {
    Log.line("i-second starts again under its id and holds nothing");
    Second.clearLog();
    Second.start(false);
  }
  std::this_thread::sleep_until(DeafSince + Ms(6300));
  Log.line("i-third receives again");
  Third.setDeaf(false);
  std::this_thread::sleep_until(DownSince + Ms(6800));
  Log.line("i-first comes back with its log");
  First.start(Promotions == 0);
  const auto Until = Clock::now() + std::chrono::seconds(20);
  bool IsServed = false;
  while (Clock::now() < Until && !IsServed) {
    IsServed = Write("c" + std::to_string(Log.now()));
    std::this_thread::sleep_for(Ms(500));
  }
  std::this_thread::sleep_for(Ms(2000));
  for (const auto &Each : Group.all()) {
    std::string Text = "log of " + Each->id() + ":";
    for (const std::string &At : Group.logOf(*Each))
      Text += " " + At;
    Log.line(Text);
  }
  Log.line(IsBroken ? "the rule was broken" : "the rule held");
  return IsBroken ? Broken : Held;
}
