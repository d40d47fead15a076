#include "bench/Measure/RunSummary.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace ragwortmux {

namespace {

namespace json = boost::json;

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;
constexpr std::array Classes = {LoadClass::Booking, LoadClass::Write,
                                LoadClass::SessionRead, LoadClass::AgedRead};
constexpr std::array Kinds = {LossKind::Killed, LossKind::Frozen,
                              LossKind::CutOff, LossKind::WithFrozenHost};

double toMs(Duration Time) {
  return static_cast<double>(Time.count()) / MicrosecondsPerMillisecond;
}

std::string formatNumber(double Value, int Digits = 1) {
  std::array<char, 64> Text;
  std::snprintf(Text.data(), Text.size(), "%.*f", Digits, Value);
  return Text.data();
}

std::string formatPercent(double Share) {
  return formatNumber(Share * 100, 2) + "%";
}

std::string tableRow(const std::string &Name, const std::string &Value) {
  return "| " + Name + " | " + Value + " |\n";
}

Duration median(const std::vector<Duration> &Sorted) {
  const std::size_t Middle = Sorted.size() / 2;
  return Sorted.size() % 2 == 1 ? Sorted[Middle]
                                : (Sorted[Middle - 1] + Sorted[Middle]) / 2;
}

std::string formatGaps(const std::vector<Duration> &Sorted) {
  if (Sorted.empty()) {
    return "no loss";
  }
  return formatNumber(toMs(Sorted.front()), 0) + " / " +
         formatNumber(toMs(median(Sorted)), 0) + " / " +
         formatNumber(toMs(Sorted.back()), 0) + " ms over " +
         std::to_string(Sorted.size());
}

json::object latencyJson(const LatencyHistogram &Times) {
  json::object Object;
  Object["count"] = Times.count();
  for (const auto &[Name, Fraction] :
       {std::pair{"p50_ms", 0.5}, {"p99_ms", 0.99}, {"p999_ms", 0.999}}) {
    const auto Time = Times.quantile(Fraction);
    Object[Name] = Time ? toMs(*Time) : 0;
  }
  return Object;
}

json::object gapsJson(const std::vector<Duration> &Sorted) {
  json::object Object;
  Object["count"] = Sorted.size();
  if (!Sorted.empty()) {
    Object["min_ms"] = toMs(Sorted.front());
    Object["median_ms"] = toMs(median(Sorted));
    Object["max_ms"] = toMs(Sorted.back());
  }
  return Object;
}

json::object workloadJson(const Workload &UserWorkload) {
  json::object Object;
  Object["user"] = UserWorkload.m_Name;
  Object["groups"] = UserWorkload.m_Groups;
  Object["servers"] = UserWorkload.m_Servers;
  Object["slots"] = UserWorkload.m_Slots;
  Object["connections"] = UserWorkload.m_Connections;
  Object["entry_hosts"] = UserWorkload.m_EntryHosts;
  Object["control_hosts"] = UserWorkload.m_ControlHosts;
  Object["open_delay_ms"] = UserWorkload.m_OpenDelay.count();
  Object["replication_delay_ms"] = UserWorkload.m_DomainDelay.count();
  Object["statement_delay_ms"] = UserWorkload.m_StatementDelay.count();
  Object["max_age_ms"] = UserWorkload.m_MaxAge.count();
  Object["requests_per_second"] = UserWorkload.m_RequestsPerSecond;
  Object["mix_percent"] = {{"booking", UserWorkload.m_Mix.m_Booking},
                           {"write", UserWorkload.m_Mix.m_Write},
                           {"session-read", UserWorkload.m_Mix.m_SessionRead},
                           {"aged-read", UserWorkload.m_Mix.m_AgedRead}};
  return Object;
}

std::string formatCodes(const RunRecord::Codes &Codes) {
  std::string Text;
  for (const auto &[Code, Count] : Codes) {
    Text += (Text.empty() ? "" : ", ") + std::to_string(Code) + ": " +
            std::to_string(Count);
  }
  return Text;
}

} // namespace

std::vector<Duration> RunSummary::gaps(LossKind Kind) const {
  std::vector<Duration> Sorted;
  for (const GapRecord &Gap : m_Gaps) {
    if (Gap.m_Loss.m_Injected && Gap.m_Loss.m_Kind == Kind) {
      Sorted.push_back(Gap.m_Gap);
    }
  }
  std::ranges::sort(Sorted);
  return Sorted;
}

std::vector<Duration> RunSummary::primaryOnlyGaps() const {
  std::vector<Duration> Sorted;
  for (const LossKind Kind :
       {LossKind::Killed, LossKind::Frozen, LossKind::CutOff}) {
    const auto KindGaps = gaps(Kind);
    Sorted.insert(Sorted.end(), KindGaps.begin(), KindGaps.end());
  }
  std::ranges::sort(Sorted);
  return Sorted;
}

double
RunSummary::replicaShare(std::initializer_list<LoadClass> Counted) const {
  std::uint64_t Replica = 0;
  std::uint64_t All = 0;
  for (const LoadClass Class : Counted) {
    Replica += m_Record->replicaReads(Class);
    All += m_Record->replicaReads(Class) + m_Record->primaryReads(Class);
  }
  return All == 0 ? 0 : static_cast<double>(Replica) / static_cast<double>(All);
}

double RunSummary::replicaShareOfAllowedReads() const {
  std::uint64_t Replica = 0;
  std::uint64_t All = 0;
  for (const LoadClass Class : {LoadClass::SessionRead, LoadClass::AgedRead}) {
    Replica += m_Record->replicaReads(Class);
    All += m_Record->replicaReads(Class) + m_Record->primaryReads(Class);
  }
  All -= m_Record->firstReads();
  return All == 0 ? 0 : static_cast<double>(Replica) / static_cast<double>(All);
}

bool RunSummary::hasNoViolations() const {
  return m_Record->violationCount() == 0;
}

std::string RunSummary::toJson() const {
  json::object Object;
  Object["workload"] = workloadJson(m_Workload);
  Object["seed"] = m_Load.m_Seed;
  Object["reads_at_primary"] = m_Load.m_ReadAtPrimary;
  Object["unkeyed_bookings"] = m_Load.m_UnkeyedBookings;
  Object["probe_interval_ms"] = m_Load.m_ProbeIntervalMs;
  Object["seconds"] = m_Seconds;
  Object["machine_load_average"] = m_MachineLoad;
  Object["replica_share_all_reads"] =
      replicaShare({LoadClass::SessionRead, LoadClass::AgedRead});
  Object["replica_share_allowed_reads"] = replicaShareOfAllowedReads();
  Object["first_reads_at_primary"] = m_Record->firstReads();
  Object["replica_share_aged_reads"] = replicaShare({LoadClass::AgedRead});
  Object["replica_share_session_reads"] =
      replicaShare({LoadClass::SessionRead});
  json::object Gaps;
  Gaps["all"] = gapsJson(primaryOnlyGaps());
  for (const LossKind Kind : Kinds) {
    Gaps[lossKindName(Kind)] = gapsJson(gaps(Kind));
  }
  Object["failover_gap"] = Gaps;
  json::array Losses;
  for (const GapRecord &Gap : m_Gaps) {
    Losses.push_back({{"kind", lossKindName(Gap.m_Loss.m_Kind)},
                      {"group", Gap.m_Loss.m_Group},
                      {"server", Gap.m_Loss.m_Server},
                      {"done", Gap.m_Loss.m_Injected},
                      {"gap_ms", toMs(Gap.m_Gap)}});
  }
  Object["losses"] = Losses;
  json::object Latency;
  json::object Answers;
  for (const LoadClass Class : Classes) {
    Latency[loadClassName(Class)] = latencyJson(m_Record->latency(Class));
    json::object Codes;
    for (const auto &[Code, Count] : m_Record->codes(Class)) {
      Codes[std::to_string(Code)] = Count;
    }
    Answers[loadClassName(Class)] = Codes;
  }
  Object["latency"] = Latency;
  Object["answers"] = Answers;
  Object["resends"] = m_Record->resends();
  Object["deliberate_resends"] = m_Record->deliberateResends();
  Object["not_sent"] = m_Record->overflows();
  Object["bookings_compared"] = m_Bookings;
  Object["bookings_unknown"] = m_Unknown;
  Object["bookings_unknown_that_ran"] = m_UnknownRan;
  Object["proxy_retries"] = m_Retries;
  Object["connections_opened"] = m_ConnectionsOpened;
  json::array Servers;
  for (const ServerCounts &Server : m_Servers) {
    Servers.push_back({{"server", Server.m_Name},
                       {"connections_open", Server.m_ConnectionsOpen},
                       {"connections_peak", Server.m_ConnectionsPeak},
                       {"slots_peak", Server.m_SlotsPeak},
                       {"refusals", Server.m_Refusals}});
  }
  Object["servers"] = Servers;
  json::array Processes;
  for (const ProcessUsage &Usage : m_Usage) {
    Processes.push_back({{"name", Usage.m_Name},
                         {"processor_s", Usage.m_ProcessorSeconds},
                         {"resident_bytes", Usage.m_ResidentBytes},
                         {"peak_bytes", Usage.m_PeakBytes}});
  }
  Object["processes"] = Processes;
  Object["promises_kept"] = hasNoViolations();
  Object["violation_count"] = m_Record->violationCount();
  json::array Violations;
  for (const Violation &Broken : m_Record->violations()) {
    Violations.push_back(
        {{"promise", Broken.m_Promise}, {"detail", Broken.m_Detail}});
  }
  Object["violations"] = Violations;
  return json::serialize(Object);
}

std::string RunSummary::toMarkdown() const {
  std::string Text = "### " + m_Workload.m_Name + "\n\n| measure | value |\n" +
                     "| --- | --- |\n";
  Text +=
      tableRow("seed; length; machine load average at the end",
               std::to_string(m_Load.m_Seed) + "; " + formatNumber(m_Seconds) +
                   " s; " + formatNumber(m_MachineLoad));
  Text += tableRow("replica-read share of all reads",
                   formatPercent(replicaShare(
                       {LoadClass::SessionRead, LoadClass::AgedRead})));
  Text += tableRow("of reads that a replica may serve (all but " +
                       std::to_string(m_Record->firstReads()) +
                       " first reads of new sessions)",
                   formatPercent(replicaShareOfAllowedReads()));
  Text += tableRow("of aged reads; of session reads",
                   formatPercent(replicaShare({LoadClass::AgedRead})) + "; " +
                       formatPercent(replicaShare({LoadClass::SessionRead})));
  Text += tableRow("failover gap min / median / max",
                   formatGaps(primaryOnlyGaps()));
  for (const LossKind Kind : Kinds) {
    Text += tableRow("- primary " + std::string(lossKindName(Kind)),
                     formatGaps(gaps(Kind)));
  }
  for (const LoadClass Class : Classes) {
    const auto Find = [&](double Fraction) {
      const auto Time = m_Record->latency(Class).quantile(Fraction);
      return Time ? formatNumber(toMs(*Time)) : std::string("-");
    };
    const std::string Name(loadClassName(Class));
    Text +=
        tableRow("latency of " + Name + " p50 / p99 / p99.9",
                 Find(0.5) + " / " + Find(0.99) + " / " + Find(0.999) + " ms");
    Text += tableRow("answers to " + Name + " by result code",
                     formatCodes(m_Record->codes(Class)));
  }
  Text +=
      tableRow("bookings compared; unknown to the caller; of those run",
               std::to_string(m_Bookings) + "; " + std::to_string(m_Unknown) +
                   "; " + std::to_string(m_UnknownRan));
  Text += tableRow("resends after unknown outcomes; after acknowledgements",
                   std::to_string(m_Record->resends()) + "; " +
                       std::to_string(m_Record->deliberateResends()));
  std::uint64_t Peak = 0;
  for (const ServerCounts &Server : m_Servers) {
    Peak = std::max(Peak, Server.m_ConnectionsPeak);
  }
  Text += tableRow("peak connections of a backend server (limit " +
                       std::to_string(m_Workload.m_Connections) + ")",
                   std::to_string(Peak));
  double HostSeconds = 0;
  std::uint64_t HostBytes = 0;
  std::size_t Hosts = 0;
  for (const ProcessUsage &Usage : m_Usage) {
    if (!Usage.m_Name.starts_with("host-")) {
      continue;
    }
    ++Hosts;
    HostSeconds += Usage.m_ProcessorSeconds;
    HostBytes = std::max(HostBytes, Usage.m_PeakBytes);
  }
  Text += tableRow(
      "processor time per entry host, mean; peak memory, highest",
      formatPercent(HostSeconds / static_cast<double>(Hosts) / m_Seconds) +
          " of a core; " +
          formatNumber(static_cast<double>(HostBytes) / BytesPerMegabyte) +
          " MiB");
  Text +=
      tableRow("promises broken", std::to_string(m_Record->violationCount()));
  for (const Violation &Broken : m_Record->violations()) {
    Text += tableRow("- " + Broken.m_Promise, Broken.m_Detail);
  }
  return Text + "\n";
}

} // namespace ragwortmux
