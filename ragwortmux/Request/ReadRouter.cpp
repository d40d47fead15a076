#include "ragwortmux/Request/ReadRouter.h"

#include <algorithm>
#include <tuple>

namespace ragwortmux {

namespace {

bool isAvoided(const ReadCandidate &Candidate,
               const ReadRequirements &Requirements) {
  return std::find(Requirements.m_Avoid.begin(), Requirements.m_Avoid.end(),
                   Candidate.m_Server) != Requirements.m_Avoid.end();
}

/// Sort key of a candidate; smaller is better.
auto rank(const ReadCandidate &Candidate,
          const ReadRequirements &Requirements) {
  return std::tuple(isAvoided(Candidate, Requirements), Candidate.m_Free == 0,
                    !Candidate.m_IsNear, Candidate.m_Running,
                    Candidate.m_Age.value_or(Duration::max()),
                    Candidate.m_Server);
}

/// The better one of \p Best and \p Candidate.
const ReadCandidate *better(const ReadCandidate *Best,
                            const ReadCandidate &Candidate,
                            const ReadRequirements &Requirements) {
  if (Best && rank(*Best, Requirements) <= rank(Candidate, Requirements))
    return Best;
  return &Candidate;
}

} // namespace

bool ReadRouter::satisfies(const ReadCandidate &Candidate,
                           const ReadRequirements &Requirements) {
  if (Candidate.m_IsPrimary && Requirements.m_PrimaryAllowed)
    return true;
  if (Requirements.m_OnlyPrimary || !Candidate.m_Applied)
    return false;
  if (Requirements.m_Token &&
      !covers(*Candidate.m_Applied, *Requirements.m_Token))
    return false;
  return !Requirements.m_MaxAge ||
         (Candidate.m_Age && *Candidate.m_Age <= *Requirements.m_MaxAge);
}

ReadChoice ReadRouter::choose(const std::vector<ReadCandidate> &Candidates,
                              const ReadRequirements &Requirements) {
  const ReadCandidate *Replica = nullptr;
  const ReadCandidate *Primary = nullptr;
  // A replica that may soon cover the token justifies the bounded wait.
  bool MayCover = false;
  for (const ReadCandidate &Candidate : Candidates) {
    if (Candidate.m_IsPrimary) {
      if (satisfies(Candidate, Requirements))
        Primary = &Candidate;
      continue;
    }
    if (satisfies(Candidate, Requirements))
      Replica = better(Replica, Candidate, Requirements);
    else if (Candidate.m_Reachable && Requirements.m_Token &&
             !Requirements.m_MaxAge)
      MayCover = true;
  }

  ReadChoice Choice;
  const bool ReplicaTried = Replica && isAvoided(*Replica, Requirements);
  if (Replica && Replica->m_Free > 0 && !ReplicaTried) {
    Choice.m_RunAt = Replica->m_Server;
    return Choice;
  }
  const bool ReplicaIsWorthWait =
      (Replica && Replica->m_Reachable && !ReplicaTried) ||
      (!Replica && MayCover && !Requirements.m_OnlyPrimary);
  if (Primary && (Requirements.m_IsWaitOver || !ReplicaIsWorthWait)) {
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
