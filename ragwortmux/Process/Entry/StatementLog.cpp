#include "ragwortmux/Process/Entry/StatementLog.h"

#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Process/Support/Log.h"
#include "ragwortmux/Process/Support/Metrics.h"
#include "ragwortmux/Version/CatalogueCache.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace ragwortmux {

namespace {

const char *decisionName(SessionDecision Decision) {
  switch (Decision) {
  case SessionDecision::Sent:
    return "sent";
  case SessionDecision::Answered:
    return "answered";
  case SessionDecision::Retried:
    return "retried";
  case SessionDecision::Refused:
    return "refused";
  case SessionDecision::Unknown:
    return "unknown";
  }
  return "";
}

const char *shedReasonName(ShedReason Reason) {
  switch (Reason) {
  case ShedReason::None:
    return "";
  case ShedReason::Deadline:
    return "deadline";
  case ShedReason::Count:
    return "count";
  case ShedReason::Bytes:
    return "bytes";
  }
  return "";
}

const char *changeReasonName(CrossDomainChangeReason Reason) {
  switch (Reason) {
  case CrossDomainChangeReason::NearSlower:
    return "near_slower";
  case CrossDomainChangeReason::FarRefuses:
    return "far_refuses";
  case CrossDomainChangeReason::FarHasRoom:
    return "far_has_room";
  case CrossDomainChangeReason::NearFine:
    return "near_fine";
  }
  return "";
}

std::int64_t toPercent(double Share) {
  return static_cast<std::int64_t>(std::lround(Share * 100));
}

std::int64_t toMs(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::int64_t toCount(std::uint64_t Count) {
  return static_cast<std::int64_t>(Count);
}

bool isSuccess(SessionDecision Decision, ResultCode Code) {
  return Decision == SessionDecision::Answered && Code == ResultCode::Ok;
}

} // namespace

void StatementLog::record(const GroupId &Group,
                          const SessionDecisionRecord &Record) {
  count(Record);
  if (Record.m_Decision == SessionDecision::Sent) {
    ++m_Summary.m_Sent;
    m_Summary.m_LongestWait =
        std::max(m_Summary.m_LongestWait, Record.m_Waited);
  } else if (isSuccess(Record.m_Decision, Record.m_Code)) {
    ++m_Summary.m_Answered;
    m_Summary.m_FromReplicas += Record.m_IsRead && !Record.m_AtPrimary ? 1 : 0;
  } else {
    writeLine(Group, Record);
  }
}

void StatementLog::count(const SessionDecisionRecord &Record) {
  const auto Entry = m_Catalogue.find(Record.m_Entry);
  if (Entry == nullptr) {
    return;
  }
  const std::string Class(trafficClassName(Entry->m_Class));
  switch (Record.m_Decision) {
  case SessionDecision::Sent:
    if (Record.m_Tries == 1) {
      m_Metrics.observe(Metric::QueueSeconds, {Class}, Record.m_Waited);
    }
    return;
  case SessionDecision::Retried:
    m_Metrics.add(Metric::Retries, {Class});
    return;
  case SessionDecision::Answered:
    m_Metrics.observe(Metric::RunSeconds, {Class}, Record.m_Running);
    if (Record.m_IsRead) {
      m_Metrics.add(Metric::Reads,
                    {Class, Record.m_AtPrimary ? "primary" : "replica"});
    }
    break;
  case SessionDecision::Refused:
    if (Record.m_Shed != ShedReason::None) {
      m_Metrics.add(Metric::ShedStatements,
                    {Class, shedReasonName(Record.m_Shed)});
    }
    break;
  case SessionDecision::Unknown:
    break;
  }
  const std::string Outcome(resultCodeInfo(Record.m_Code).m_Name);
  m_Metrics.add(Metric::Requests, {Class, Outcome});
  m_Metrics.observe(Metric::RequestSeconds, {Class, Outcome}, Record.m_Waited);
}

void StatementLog::writeLine(const GroupId &Group,
                             const SessionDecisionRecord &Record) const {
  const std::array Fields = {
      LogField{"id", Record.m_Statement.value()},
      LogField{"decision", std::string(decisionName(Record.m_Decision))},
      LogField{"code", static_cast<std::int64_t>(Record.m_Code)},
      LogField{"result", std::string(resultCodeInfo(Record.m_Code).m_Name)},
      LogField{"entry", Record.m_Entry.value()},
      LogField{"group", Group.value()},
      LogField{"server", Record.m_Server.value()},
      LogField{"term", toCount(Record.m_Term.value())},
      LogField{"revision", toCount(Record.m_View.value())},
      LogField{"catalogue", toCount(m_Catalogue.revision().value())},
      LogField{"lease_left_ms", toMs(Record.m_LeaseLeft)},
      LogField{"floor_age_ms",
               Record.m_FloorAge ? toMs(*Record.m_FloorAge) : -1},
      LogField{"waited_ms", toMs(Record.m_Waited)},
      LogField{"tries", static_cast<std::int64_t>(Record.m_Tries)},
      LogField{"workspace", Record.m_Workspace.value()},
      LogField{"shed", std::string(shedReasonName(Record.m_Shed))}};
  logRecord(LogLevel::Info, Part::Group, "A statement was decided on.", Fields);
}

void StatementLog::recordRelayed(const RelayDecisionRecord &Record) {
  const std::string Decision(decisionName(Record.m_Decision));
  const std::string Result(resultCodeInfo(Record.m_Code).m_Name);
  m_Metrics.add(Metric::RelayedStatements, {Decision, Result});
  if (Record.m_Decision == SessionDecision::Sent ||
      isSuccess(Record.m_Decision, Record.m_Code)) {
    return;
  }
  const std::array Fields = {
      LogField{"id", Record.m_Statement.value()},
      LogField{"decision", Decision},
      LogField{"code", static_cast<std::int64_t>(Record.m_Code)},
      LogField{"result", Result},
      LogField{"entry", Record.m_Entry.value()},
      LogField{"group", Record.m_Group.value()},
      LogField{"relay_host", Record.m_Host.value()},
      LogField{"waited_ms", toMs(Record.m_Waited)},
      LogField{"tries", static_cast<std::int64_t>(Record.m_Tries)}};
  logRecord(LogLevel::Info, Part::Group, "A relayed statement was decided on.",
            Fields);
}

void StatementLog::recordMissingEntry(const EntryName &Entry,
                                      const StatementId &Statement,
                                      ResultCode Code,
                                      Duration LeaseLeft) const {
  recordRefusedCaller("The catalogue has no such entry.", Entry, Statement,
                      Code, LeaseLeft);
}

void StatementLog::recordUnknownKey(const EntryName &Entry,
                                    const StatementId &Statement,
                                    ResultCode Code, Duration LeaseLeft) const {
  recordRefusedCaller("No workspace holds the caller's key.", Entry, Statement,
                      Code, LeaseLeft);
}

void StatementLog::recordRefusedCaller(std::string_view Text,
                                       const EntryName &Entry,
                                       const StatementId &Statement,
                                       ResultCode Code,
                                       Duration LeaseLeft) const {
  const std::array Fields = {
      LogField{"id", Statement.value()},
      LogField{"decision", std::string(decisionName(SessionDecision::Refused))},
      LogField{"code", static_cast<std::int64_t>(Code)},
      LogField{"result", std::string(resultCodeInfo(Code).m_Name)},
      LogField{"entry", Entry.value()},
      LogField{"catalogue", toCount(m_Catalogue.revision().value())},
      LogField{"lease_left_ms", toMs(LeaseLeft)}};
  logRecord(LogLevel::Info, Part::Catalogue, Text, Fields);
}

void StatementLog::recordCrossDomain(const GroupId &Group,
                                     const CrossDomainChange &Change) const {
  const std::array Fields = {
      LogField{"group", Group.value()},
      LogField{"reason", std::string(changeReasonName(Change.m_Reason))},
      LogField{"share_before_percent", toPercent(Change.m_Before)},
      LogField{"share_percent", toPercent(Change.m_Share)},
      LogField{"limit_percent", toPercent(Change.m_Limit)},
      LogField{"reads_with_reason",
               static_cast<std::int64_t>(Change.m_WithReason)},
      LogField{"reads_left", static_cast<std::int64_t>(Change.m_Left)},
      LogField{"refused", static_cast<std::int64_t>(Change.m_Refused)},
      LogField{"near_us", static_cast<std::int64_t>(Change.m_NearTime.count())},
      LogField{"far_us", static_cast<std::int64_t>(Change.m_FarTime.count())}};
  logRecord(LogLevel::Info, Part::Group,
            "The share of reads that may leave the failure domain changed.",
            Fields);
}

void StatementLog::countCrossDomain(const GroupId &Group,
                                    const CrossDomainCounts &Counts,
                                    double Share) {
  CrossDomainCounts &Known = m_Counted[Group];
  const std::string &Name = Group.value();
  m_Metrics.add(Metric::ReadsByDomain, {Name, "near"},
                Counts.m_Near - Known.m_Near);
  m_Metrics.add(Metric::ReadsByDomain, {Name, "far"},
                Counts.m_Far - Known.m_Far);
  m_Metrics.add(Metric::ForeignReadBytes, {Name},
                Counts.m_FarBytes - Known.m_FarBytes);
  m_Metrics.set(Metric::ForeignReadShare, {Name}, Share);
  Known = Counts;
}

void StatementLog::writeSummary() {
  const Summary Previous = std::exchange(m_Summary, Summary());
  if (Previous.m_Sent == 0 && Previous.m_Answered == 0) {
    return;
  }
  const std::array Fields = {
      LogField{"sent", toCount(Previous.m_Sent)},
      LogField{"answered", toCount(Previous.m_Answered)},
      LogField{"from_replicas", toCount(Previous.m_FromReplicas)},
      LogField{"longest_wait_ms", toMs(Previous.m_LongestWait)}};
  logRecord(LogLevel::Info, Part::Group, "Summary of successful statements.",
            Fields);
}

} // namespace ragwortmux
