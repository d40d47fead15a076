#include "ragwortmux/Request/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace ragwortmux {

namespace {

std::size_t indexOf(QueueLane Lane) { return static_cast<std::size_t>(Lane); }

} // namespace

void FairQueue::takeFromOrder(Level &In, Flow &Of, bool IsLate) {
  if (!Of.m_Parts.at(IsLate).m_Statements.empty())
    In.m_Order.at(IsLate).erase(keyOf(Of, IsLate));
}

void FairQueue::returnToOrder(Level &In, Flow &Of, bool IsLate) {
  if (!Of.m_Parts.at(IsLate).m_Statements.empty())
    In.m_Order.at(IsLate).insert(keyOf(Of, IsLate));
}

void FairQueue::insert(const Entry &Added) {
  const QueuedStatement &Statement = Added.m_Statement;
  Level &In = m_Levels[Statement.m_Priority];
  Flow &Of = In.m_Flows[Statement.m_Workspace];
  if (Of.isEmpty()) {
    In.m_IdleFlows.erase({Of.m_Sent, Statement.m_Workspace});
    Of.m_Sent = std::max(Of.m_Sent, In.m_Now);
  }
  const bool IsLate = Added.m_IsLate;
  Part &Queued = Of.m_Parts.at(IsLate);
  // Only the first statement of a flow determines its place.
  const std::pair Key(Statement.m_Arrived, Statement.m_Request);
  const bool IsFirst =
      Queued.m_Statements.empty() || Key < *Queued.m_Statements.begin();
  if (IsFirst)
    takeFromOrder(In, Of, IsLate);
  Queued.m_Statements.insert(Key);
  if (IsFirst)
    returnToOrder(In, Of, IsLate);
  ++Queued.m_Lanes.at(indexOf(Statement.m_Lane));
  ++In.m_Lanes.at(IsLate).at(indexOf(Statement.m_Lane));
}

void FairQueue::extract(const Entry &Removed) {
  const QueuedStatement &Statement = Removed.m_Statement;
  Level &In = m_Levels.at(Statement.m_Priority);
  Flow &Of = In.m_Flows.at(Statement.m_Workspace);
  const bool IsLate = Removed.m_IsLate;
  Part &Queued = Of.m_Parts.at(IsLate);
  const std::pair Key(Statement.m_Arrived, Statement.m_Request);
  const bool IsFirst = Key == *Queued.m_Statements.begin();
  std::set<FlowKey>::node_type Place;
  if (IsFirst)
    Place = In.m_Order.at(IsLate).extract(keyOf(Of, IsLate));
  Queued.m_Statements.erase(Key);
  if (IsFirst && !Queued.m_Statements.empty()) {
    Place.value() = keyOf(Of, IsLate);
    In.m_Order.at(IsLate).insert(std::move(Place));
  }
  --Queued.m_Lanes.at(indexOf(Statement.m_Lane));
  --In.m_Lanes.at(IsLate).at(indexOf(Statement.m_Lane));
}

void FairQueue::restIfEmpty(std::uint32_t Priority,
                            const WorkspaceId &Workspace) {
  const auto Found = m_Levels.find(Priority);
  Level &In = Found->second;
  const auto Of = In.m_Flows.find(Workspace);
  if (!Of->second.isEmpty())
    return;
  if (!In.isEmpty()) {
    if (Of->second.m_Sent <= In.m_Now)
      In.m_Flows.erase(Of);
    else
      In.m_IdleFlows.insert({Of->second.m_Sent, Workspace});
    return;
  }
  // Nobody waits any more, so nobody is ahead of another. The level and an only
  // flow are kept: while no statement waits for long, allocating them for each
  // statement would take longer than the queue does otherwise.
  if (m_Levels.size() > MaxLevelsKept) {
    m_Levels.erase(Found);
    return;
  }
  In.m_Now = 0;
  In.m_IdleFlows.clear();
  if (In.m_Flows.size() > 1)
    In.m_Flows.clear();
  else
    Of->second.m_Sent = 0;
}

void FairQueue::add(const QueuedStatement &Added) {
  assert(!m_Waiting.contains(Added.m_Request));
  const Entry &Queued =
      m_Waiting.emplace(Added.m_Request, Entry{Added, false}).first->second;
  insert(Queued);
  if (Added.m_LateAt)
    m_NotYetLate.insert({*Added.m_LateAt, Added.m_Request});
  if (Added.m_Workspace != WorkspaceId()) {
    Usage &Used = m_Usage[Added.m_Workspace];
    ++Used.m_Count;
    Used.m_Bytes += Added.m_Bytes;
  }
  ++m_Lanes.at(indexOf(Added.m_Lane));
  m_Bytes += Added.m_Bytes;
}

void FairQueue::remove(RequestId Request) {
  const auto Found = m_Waiting.find(Request);
  if (Found == m_Waiting.end())
    return;
  const auto Node = m_Waiting.extract(Found);
  const Entry &Removed = Node.mapped();
  const QueuedStatement &Statement = Removed.m_Statement;
  extract(Removed);
  restIfEmpty(Statement.m_Priority, Statement.m_Workspace);
  if (Statement.m_LateAt)
    m_NotYetLate.erase({*Statement.m_LateAt, Request});
  const auto Used = m_Usage.find(Statement.m_Workspace);
  if (Used != m_Usage.end()) {
    Used->second.m_Bytes -= Statement.m_Bytes;
    if (--Used->second.m_Count == 0)
      m_Usage.erase(Used);
  }
  --m_Lanes.at(indexOf(Statement.m_Lane));
  m_Bytes -= Statement.m_Bytes;
}

void FairQueue::charge(const WorkspaceId &Workspace, std::uint32_t Priority) {
  const auto Found = m_Levels.find(Priority);
  if (Found == m_Levels.end())
    return;
  Level &In = Found->second;
  // Without others there is nothing to share. An idle level has no counts.
  const bool IsAlone =
      In.m_Flows.size() == 1 && In.m_Flows.begin()->first == Workspace;
  if (IsAlone || In.isEmpty())
    return;
  Flow &Of = In.m_Flows[Workspace];
  const bool IsIdle = Of.isEmpty();
  if (IsIdle)
    In.m_IdleFlows.erase({Of.m_Sent, Workspace});
  for (const bool IsLate : {false, true})
    takeFromOrder(In, Of, IsLate);
  const Count Lowest = In.m_Now > MaxLag ? In.m_Now - MaxLag : 0;
  // A workspace that does not wait may send in an open transaction; it has no
  // share to make up for.
  const Count Start = std::max(Of.m_Sent, IsIdle ? In.m_Now : Lowest);
  Of.m_Sent = Start + 1;
  for (const bool IsLate : {false, true})
    returnToOrder(In, Of, IsLate);
  if (IsIdle) {
    In.m_IdleFlows.insert({Of.m_Sent, Workspace});
    return;
  }
  In.m_Now = std::max(In.m_Now, Start);
  while (!In.m_IdleFlows.empty() && In.m_IdleFlows.begin()->first <= In.m_Now) {
    In.m_Flows.erase(In.m_IdleFlows.begin()->second);
    In.m_IdleFlows.erase(In.m_IdleFlows.begin());
  }
}

std::vector<RequestId> FairQueue::advance(Instant Now) {
  std::vector<RequestId> Late;
  while (!m_NotYetLate.empty() && m_NotYetLate.begin()->first <= Now) {
    const RequestId Request = m_NotYetLate.begin()->second;
    m_NotYetLate.erase(m_NotYetLate.begin());
    Entry &Queued = m_Waiting.at(Request);
    extract(Queued);
    Queued.m_IsLate = true;
    insert(Queued);
    Late.push_back(Request);
  }
  return Late;
}

std::size_t FairQueue::size(QueueLane Lane) const {
  return m_Lanes.at(indexOf(Lane));
}

FairQueue::Usage FairQueue::usage(const WorkspaceId &Workspace) const {
  const auto Found = m_Usage.find(Workspace);
  return Found == m_Usage.end() ? Usage() : Found->second;
}

std::size_t FairQueue::ahead(RequestId Request) const {
  const auto Found = m_Waiting.find(Request);
  if (Found == m_Waiting.end())
    return 0;
  const QueuedStatement &Statement = Found->second.m_Statement;
  const bool IsLate = Found->second.m_IsLate;
  const std::size_t Lane = indexOf(Statement.m_Lane);
  std::size_t Ahead = 0;
  auto Each = m_Levels.begin();
  for (; Each->first != Statement.m_Priority; ++Each)
    Ahead +=
        Each->second.m_Lanes[0].at(Lane) + Each->second.m_Lanes[1].at(Lane);
  const Level &In = Each->second;
  if (IsLate)
    Ahead += In.m_Lanes[0].at(Lane);
  const Flow &Own = In.m_Flows.at(Statement.m_Workspace);
  const Part &OwnPart = Own.m_Parts.at(IsLate);
  if (OwnPart.m_Statements.rbegin()->second != Request)
    return Ahead;
  const std::size_t OwnAhead = OwnPart.m_Lanes.at(Lane) - 1;
  Ahead += OwnAhead;
  std::size_t Counted = 0;
  for (const FlowKey &Key : In.m_Order.at(IsLate)) {
    const Flow *Other = std::get<Flow *>(Key);
    if (Other == &Own)
      continue;
    if (++Counted > MaxFlowsCounted)
      break;
    Ahead += std::min(OwnAhead, Other->m_Parts.at(IsLate).m_Lanes.at(Lane));
  }
  return Ahead;
}

const QueuedStatement *FairQueue::last() const {
  const auto Lowest =
      std::find_if(m_Levels.rbegin(), m_Levels.rend(),
                   [](const auto &Each) { return !Each.second.isEmpty(); });
  if (Lowest == m_Levels.rend())
    return nullptr;
  const Level &In = Lowest->second;
  const bool IsLate = !In.m_Order[1].empty();
  const Flow *Of = std::get<Flow *>(*In.m_Order.at(IsLate).rbegin());
  return &m_Waiting.at(Of->m_Parts.at(IsLate).m_Statements.rbegin()->second)
              .m_Statement;
}

FairQueue::Walk::Walk(FairQueue &Queue)
    : m_Queue(Queue), m_Number(++Queue.m_LastWalk) {
  if (!Queue.m_Levels.empty())
    m_Priority = Queue.m_Levels.begin()->first;
  startPart();
}

FairQueue::Level *FairQueue::Walk::currentLevel() {
  // The level is gone if the statements returned were all it had.
  const auto Found = m_Queue.m_Levels.find(*m_Priority);
  return Found == m_Queue.m_Levels.end() ? nullptr : &Found->second;
}

void FairQueue::Walk::startPart() {
  m_Cursors.clear();
  m_Last = nullptr;
  if (m_Priority)
    m_NextFlow = currentLevel()->m_Order.at(m_IsLate).begin();
}

void FairQueue::Walk::reachFlows(const Level &In) {
  while (m_NextFlow != In.m_Order.at(m_IsLate).end()) {
    const auto &[Sent, First, Of] = *m_NextFlow;
    Part &Reached = Of->m_Parts.at(m_IsLate);
    // Charging a flow for a statement of this walk moves it back in the order.
    if (Reached.m_VisitedBy != m_Number) {
      const Cursor New{Sent, Reached.m_Statements.begin(), &Reached};
      if (!m_Cursors.empty() && New > m_Cursors.front())
        return;
      Reached.m_VisitedBy = m_Number;
      addCursor(New);
    }
    ++m_NextFlow;
  }
}

std::optional<RequestId> FairQueue::Walk::next() {
  while (m_Priority) {
    const Level *In = currentLevel();
    if (In != nullptr) {
      reachFlows(*In);
      if (!m_Cursors.empty()) {
        std::ranges::pop_heap(m_Cursors, std::greater<>());
        Cursor Next = m_Cursors.back();
        m_Cursors.pop_back();
        const RequestId Request = Next.m_Next->second;
        m_Last = Next.m_Part;
        ++Next.m_Next;
        ++Next.m_Count;
        if (Next.m_Next != Next.m_Part->m_Statements.end())
          addCursor(Next);
        return Request;
      }
    }
    if (In != nullptr && !m_IsLate) {
      m_IsLate = true;
    } else {
      const auto After = m_Queue.m_Levels.upper_bound(*m_Priority);
      m_Priority.reset();
      if (After != m_Queue.m_Levels.end())
        m_Priority = After->first;
      m_IsLate = false;
    }
    startPart();
  }
  return std::nullopt;
}

void FairQueue::Walk::addCursor(const Cursor &Added) {
  m_Cursors.push_back(Added);
  std::ranges::push_heap(m_Cursors, std::greater<>());
}

void FairQueue::Walk::skipWorkspace() {
  std::erase_if(m_Cursors,
                [this](const Cursor &Each) { return Each.m_Part == m_Last; });
  std::ranges::make_heap(m_Cursors, std::greater<>());
}

} // namespace ragwortmux
