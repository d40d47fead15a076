#include "ragwortmux/Request/AgeTracker.h"
#include "ragwortmux/Request/ReadRouter.h"
#include "ragwortmux/Request/RequestQueue.h"
#include "ragwortmux/Request/RetryBudget.h"
#include "ragwortmux/Request/WriteGate.h"
#include "ragwortmux/Version/GroupView.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace ragwortmux {

namespace {

using std::chrono::milliseconds;

LogPoint at(std::uint64_t InTerm, std::uint64_t Position) {
  return {Term(InTerm), LogPosition(Position)};
}

Instant after(int Milliseconds) { return Instant(milliseconds(Milliseconds)); }

BOOST_AUTO_TEST_CASE(AgeFollowsLatestCoveredSample) {
  AgeTracker Ages;
  Ages.addSample(at(1, 10), after(100));
  Ages.addSample(at(1, 20), after(200));
  Ages.addSample(at(1, 20), after(250)); // nothing was written in between
  Ages.addSample(at(1, 15), after(260)); // arrived out of order
  Ages.addSample(at(2, 18), after(300));
  const struct {
    LogPoint m_Applied;
    std::optional<Duration> m_Age;
  } Cases[] = {
      {at(1, 9), std::nullopt},       {at(1, 10), milliseconds(900)},
      {at(1, 19), milliseconds(900)}, {at(1, 20), milliseconds(750)},
      {at(1, 99), milliseconds(750)}, {at(2, 17), milliseconds(900)},
      {at(2, 18), milliseconds(700)}, {at(0, 99), std::nullopt},
  };
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Applied.m_Position.value())
    BOOST_TEST((Ages.age(Case.m_Applied, after(1000)) == Case.m_Age));
  }
}

BOOST_AUTO_TEST_CASE(ThinningOutSamplesOnlyIncreasesAges) {
  AgeTracker Ages;
  for (int Index = 1; Index <= 20000; ++Index)
    Ages.addSample(at(1, static_cast<std::uint64_t>(Index)), after(Index));
  for (const int Position : {20000, 19990, 19000, 15000}) {
    const auto Age =
        Ages.age(at(1, static_cast<std::uint64_t>(Position)), after(20000));
    BOOST_REQUIRE(Age);
    BOOST_TEST((*Age >= milliseconds(20000 - Position)));
    BOOST_TEST((*Age <= milliseconds(2 * (20000 - Position) + 64)));
  }
}

BOOST_AUTO_TEST_CASE(ResetServerNoLongerHoldsCommit) {
  GroupView View;
  View.m_Term = Term(1);
  View.m_Primary = ServerId("s1");
  for (const char *Name : {"s1", "s2"}) {
    ServerView Server;
    Server.m_Server = ServerId(Name);
    Server.m_Sync = SyncState::InSync;
    View.m_Servers.push_back(Server);
  }
  const struct {
    const char *m_Name;
    LogPoint m_Point;
    int m_QuerySentAt;
    int m_ReportedAt;
    bool m_Holds; ///< Whether it holds position 10 of term 1 after the step.
  } Steps[] = {
      {"applied", at(1, 10), 1, 5, true},
      {"queried before, lower position", at(1, 5), 4, 6, true},
      {"queried after, lower position", at(1, 5), 7, 8, false},
      {"slow query, higher position", at(1, 12), 2, 9, true},
      {"an earlier term", at(0, 99), 10, 11, false},
      {"a later term", at(2, 99), 12, 13, false},
  };
  WriteGate Gate(false);
  for (const auto &Step : Steps) {
    Gate.setApplied(ServerId("s2"), Step.m_Point, after(Step.m_QuerySentAt),
                    after(Step.m_ReportedAt));
    BOOST_TEST_CONTEXT(Step.m_Name)
    BOOST_TEST(Gate.isReplicated(View, at(1, 10)) == Step.m_Holds);
  }
  Gate.setApplied(ServerId("s2"), at(1, 10), after(14), after(15));
  View.m_Primary.reset();
  BOOST_TEST(!Gate.isReplicated(View, at(1, 1)));
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTenthOfRequests) {
  RetryBudget Budget({10, 5});
  int Retried = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    Budget.addRequest();
    while (Budget.tryConsumeRetry())
      ++Retried;
  }
  BOOST_TEST(Retried == 104); // 5 saved, 1000 tenths less one above the limit
  for (int Index = 0; Index < 1000; ++Index)
    Budget.addRequest();
  Retried = 0;
  while (Budget.tryConsumeRetry())
    ++Retried;
  BOOST_TEST(Retried == 5); // no more are saved
}

/// Two replicas and a primary s1.
std::vector<ReadCandidate> threeServers() {
  std::vector<ReadCandidate> Servers(3);
  int Index = 0;
  for (const char *Name : {"s1", "s2", "s3"}) {
    ReadCandidate &Server = Servers[static_cast<std::size_t>(Index++)];
    Server.m_Server = ServerId(Name);
    Server.m_Applied = at(1, 10);
    Server.m_Age = milliseconds(100);
    Server.m_Free = 1;
  }
  Servers[0].m_IsPrimary = true;
  return Servers;
}

BOOST_AUTO_TEST_CASE(ReadRouterPrefersServersInOrder) {
  using Change = void (*)(std::vector<ReadCandidate> &, ReadRequirements &);
  const struct {
    const char *m_Name;
    Change m_Change;
    const char *m_RunAt;
    const char *m_WaitFor;
  } Cases[] = {
      {"first replica", [](auto &, auto &) {}, "s2", ""},
      {"near replica", [](auto &S, auto &) { S[2].m_IsNear = true; }, "s3", ""},
      {"free before near",
       [](auto &S, auto &) {
         S[2].m_IsNear = true;
         S[2].m_Free = 0;
       },
       "s2", ""},
      {"less loaded", [](auto &S, auto &) { S[1].m_Running = 1; }, "s3", ""},
      {"newer data", [](auto &S, auto &) { S[2].m_Age = milliseconds(50); },
       "s3", ""},
      {"only one covers the token",
       [](auto &S, auto &) { S[1].m_Applied = at(1, 9); }, "s3", ""},
      {"replicas busy", [](auto &S, auto &) { S[1].m_Free = S[2].m_Free = 0; },
       "", "s2"},
      {"replicas busy past the wait",
       [](auto &S, auto &N) {
         S[1].m_Free = S[2].m_Free = 0;
         N.m_IsWaitOver = true;
       },
       "s1", ""},
      {"none covers yet",
       [](auto &S, auto &) { S[1].m_Applied = S[2].m_Applied = at(1, 9); }, "",
       ""},
      {"none covers past the wait",
       [](auto &S, auto &N) {
         S[1].m_Applied = S[2].m_Applied = at(1, 9);
         N.m_IsWaitOver = true;
       },
       "s1", ""},
      {"primary not allowed and none covers",
       [](auto &S, auto &N) {
         S[1].m_Applied = S[2].m_Applied = at(1, 9);
         N.m_IsWaitOver = true;
         N.m_PrimaryAllowed = false;
         S[0].m_Applied = at(1, 9);
       },
       "", ""},
      {"too old", [](auto &, auto &N) { N.m_MaxAge = milliseconds(99); }, "s1",
       ""},
      {"age unknown",
       [](auto &S, auto &N) {
         N.m_MaxAge = milliseconds(100);
         S[1].m_Age.reset();
       },
       "s3", ""},
      {"one replica failed before",
       [](auto &, auto &N) { N.m_Avoid = {ServerId("s2")}; }, "s3", ""},
      {"both replicas failed before",
       [](auto &, auto &N) {
         N.m_Avoid = {ServerId("s2"), ServerId("s3")};
       },
       "s1", ""},
      {"only the primary", [](auto &, auto &N) { N.m_OnlyPrimary = true; },
       "s1", ""},
      {"only the primary, busy",
       [](auto &S, auto &N) {
         N.m_OnlyPrimary = true;
         S[0].m_Free = 0;
       },
       "", "s1"},
      {"replicas unreachable",
       [](auto &S, auto &) {
         for (const int Index : {1, 2}) {
           S[static_cast<std::size_t>(Index)].m_Free = 0;
           S[static_cast<std::size_t>(Index)].m_Reachable = false;
         }
       },
       "s1", ""},
  };
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      std::vector<ReadCandidate> Servers = threeServers();
      ReadRequirements Requirements;
      Requirements.m_Token = at(1, 10);
      Requirements.m_PrimaryAllowed = true;
      Case.m_Change(Servers, Requirements);
      const ReadChoice Choice = ReadRouter::choose(Servers, Requirements);
      BOOST_TEST(Choice.m_RunAt.value_or(ServerId()).value() == Case.m_RunAt);
      BOOST_TEST(Choice.m_WaitFor.value_or(ServerId()).value() ==
                 Case.m_WaitFor);
    }
  }
}

CatalogueEntry entry(const char *Name, const char *Owner, TrafficClass Class) {
  CatalogueEntry Entry;
  Entry.m_Name = EntryName(Name);
  Entry.m_Owner = OwnerId(Owner);
  Entry.m_Class = Class;
  return Entry;
}

/// Order in which \p Queue tries its requests; the result of each is in \p
/// Results by id, else Dispatched.
std::string triedOrder(RequestQueue &Queue,
                       const std::map<std::uint64_t, TryResult> &Results = {}) {
  std::string Order;
  Queue.run([&](RequestId Request) {
    Order += std::to_string(Request.value()) + " ";
    const auto Found = Results.find(Request.value());
    return Found == Results.end() ? TryResult::Dispatched : Found->second;
  });
  return Order;
}

BOOST_AUTO_TEST_CASE(QueueAlternatesBetweenOwnersAndEntries) {
  const CatalogueEntry A1 = entry("a1", "a", TrafficClass::Booking);
  const CatalogueEntry A2 = entry("a2", "a", TrafficClass::Booking);
  const CatalogueEntry B = entry("b", "b", TrafficClass::Booking);
  const CatalogueEntry Read = entry("r", "a", TrafficClass::SessionRead);
  const auto Fill = [&](RequestQueue &Queue) {
    Queue.add(Read, RequestId(1));
    for (const std::uint64_t Id : {2, 3, 4})
      Queue.add(A1, RequestId(Id));
    Queue.add(A2, RequestId(5));
    Queue.add(B, RequestId(6));
    Queue.add(B, RequestId(7));
  };
  const struct {
    std::map<std::uint64_t, TryResult> m_Results;
    const char *m_Order;
    std::size_t m_Left;
  } Cases[] = {
      {{}, "2 6 5 7 3 4 1 ", 0},
      {{{2, TryResult::NotYet}}, "2 3 6 5 7 4 1 ", 1},
      {{{2, TryResult::EntryFull}}, "2 5 6 7 1 ", 3},
      {{{6, TryResult::ClassFull}}, "2 6 1 ", 5},
  };
  for (const auto &Case : Cases) {
    RequestQueue Queue;
    Fill(Queue);
    BOOST_TEST(triedOrder(Queue, Case.m_Results) == Case.m_Order);
    BOOST_TEST(Queue.size() == Case.m_Left);
  }
  RequestQueue Queue;
  Fill(Queue);
  Queue.remove(A1, RequestId(3));
  Queue.remove(A1, RequestId(99));
  BOOST_TEST(triedOrder(Queue) == "2 6 5 7 4 1 ");
  Queue.add(A1, RequestId(9));
  Queue.add(A1, RequestId(8)); // queued again for a retry: its old position
  BOOST_TEST(triedOrder(Queue) == "8 9 ");
}

} // namespace

} // namespace ragwortmux
