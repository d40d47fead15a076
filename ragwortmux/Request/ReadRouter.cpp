#include "ragwortmux/Request/ReadRouter.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

bool isAvoided(const ReadCandidate &Candidate, const ReadNeed &Need) {
  return std::find(Need.m_Avoid.begin(), Need.m_Avoid.end(),
                   Candidate.m_Server) != Need.m_Avoid.end();
}

/// Sort key of a candidate; smaller is better.
auto rank(const ReadCandidate &Candidate, const ReadNeed &Need) {
  return std::tuple(isAvoided(Candidate, Need), Candidate.m_Free == 0,
                    !Candidate.m_IsNear, Candidate.m_Running,
                    Candidate.m_Age.value_or(Duration::max()),
                    Candidate.m_Server);
}

/// The better one of \p Best and \p Candidate.
const ReadCandidate *better(const ReadCandidate *Best,
                            const ReadCandidate &Candidate,
                            const ReadNeed &Need) {
  if (Best && rank(*Best, Need) <= rank(Candidate, Need))
    return Best;
  return &Candidate;
}

} // namespace

bool ReadRouter::satisfies(const ReadCandidate &Candidate,
                           const ReadNeed &Need) {
  if (Candidate.m_IsPrimary && Need.m_PrimaryAllowed)
    return true;
  if (Need.m_OnlyPrimary || !Candidate.m_Applied)
    return false;
  if (Need.m_Token && !covers(*Candidate.m_Applied, *Need.m_Token))
    return false;
  return !Need.m_MaxAge ||
         (Candidate.m_Age && *Candidate.m_Age <= *Need.m_MaxAge);
}

ReadChoice ReadRouter::choose(const std::vector<ReadCandidate> &Candidates,
                              const ReadNeed &Need) {
  const ReadCandidate *Replica = nullptr;
  const ReadCandidate *Primary = nullptr;
  // A replica that may soon cover the token justifies the bounded wait.
  bool MayCover = false;
  for (const ReadCandidate &Candidate : Candidates) {
    if (Candidate.m_IsPrimary) {
      if (satisfies(Candidate, Need))
        Primary = &Candidate;
      continue;
    }
    if (satisfies(Candidate, Need))
      Replica = better(Replica, Candidate, Need);
    else if (Candidate.m_Reachable && Need.m_Token && !Need.m_MaxAge)
      MayCover = true;
  }

  ReadChoice Choice;
  const bool ReplicaTried = Replica && isAvoided(*Replica, Need);
  if (Replica && Replica->m_Free > 0 && !ReplicaTried) {
    Choice.m_RunAt = Replica->m_Server;
    return Choice;
  }
  const bool ReplicaIsWorthWait =
      (Replica && Replica->m_Reachable && !ReplicaTried) ||
      (!Replica && MayCover && !Need.m_OnlyPrimary);
  if (Primary && (Need.m_WaitedLong || !ReplicaIsWorthWait)) {
    if (Primary->m_Free > 0)
      Choice.m_RunAt = Primary->m_Server;
    else
      Choice.m_WaitFor = Primary->m_Server;
    return Choice;
  }
  if (Replica && Replica->m_Free > 0 && !Primary) {
    Choice.m_RunAt = Replica->m_Server;
    return Choice;
  }
  if (Replica)
    Choice.m_WaitFor = Replica->m_Server;
  return Choice;
}

} // namespace ragwortmux
