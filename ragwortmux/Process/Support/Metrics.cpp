#include "ragwortmux/Process/Support/Metrics.h"

#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace ragwortmux {

namespace {

std::string escapeLabel(const std::string &Value) {
  std::string Result;
  for (const char Character : Value) {
    if (Character == '\\' || Character == '"')
      Result += '\\';
    if (Character == '\n')
      Result += "\\n";
    else
      Result += Character;
  }
  return Result;
}

/// Renders `{name="value",...}` with \p Extra at the end; empty if there are
/// neither labels nor \p Extra.
std::string renderLabels(const MetricInfo &Info, const MetricLabels &Labels,
                         const std::string &Extra = "") {
  std::string Inner;
  for (std::size_t Index = 0; Index < Labels.size(); ++Index) {
    Inner += fmt::format("{}{}=\"{}\"", Inner.empty() ? "" : ",",
                         Info.m_Labels.at(Index), escapeLabel(Labels[Index]));
  }
  if (!Extra.empty())
    Inner += (Inner.empty() ? "" : ",") + Extra;
  return Inner.empty() ? "" : "{" + Inner + "}";
}

std::string_view metricTypeName(MetricKind Kind) {
  constexpr std::array<std::string_view, 3> Words = {"counter", "gauge",
                                                     "histogram"};
  return Words.at(static_cast<std::size_t>(Kind));
}

/// Appends the line of a counter or gauge.
template <typename Number>
void renderValue(std::string &Text, const MetricInfo &Info,
                 const MetricLabels &Labels, const Number &Value) {
  Text +=
      fmt::format("{}{} {}\n", Info.m_Name, renderLabels(Info, Labels), Value);
}

/// Appends the lines of a histogram.
void renderValue(std::string &Text, const MetricInfo &Info,
                 const MetricLabels &Labels, const LatencyHistogram &Value) {
  for (const LatencyHistogram::Bucket &Bucket : Value.buckets()) {
    const std::string Bound =
        fmt::format("le=\"{:.6g}\"", Bucket.m_UpperSeconds);
    Text += fmt::format("{}_bucket{} {}\n", Info.m_Name,
                        renderLabels(Info, Labels, Bound), Bucket.m_Cumulative);
  }
  Text += fmt::format("{}_bucket{} {}\n", Info.m_Name,
                      renderLabels(Info, Labels, "le=\"+Inf\""), Value.count());
  const std::string Suffix = renderLabels(Info, Labels);
  Text +=
      fmt::format("{}_sum{} {:.6f}\n", Info.m_Name, Suffix, Value.sumSeconds());
  Text += fmt::format("{}_count{} {}\n", Info.m_Name, Suffix, Value.count());
}

/// Appends the lines of one metric if \p All has a value of it.
template <typename Series>
void renderSeries(std::string &Text, const MetricInfo &Info,
                  const Series &All) {
  const auto Found = All.find(Info.m_Metric);
  if (Found == All.end())
    return;
  Text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", Info.m_Name, Info.m_Help,
                      Info.m_Name, metricTypeName(Info.m_Kind));
  for (const auto &[Labels, Value] : Found->second)
    renderValue(Text, Info, Labels, Value);
}

/// The value of \p Labels, null if there is none.
template <typename Series>
auto *findValue(Series &All, Metric Which, const MetricLabels &Labels) {
  const auto Values = All.find(Which);
  using Pointer = decltype(&Values->second.begin()->second);
  if (Values == All.end())
    return Pointer(nullptr);
  const auto Found = Values->second.find(Labels);
  return Found == Values->second.end() ? Pointer(nullptr) : &Found->second;
}

} // namespace

template <typename Value>
Value &Metrics::findOrAdd(Series<Value> &All, Metric Which,
                          const MetricLabels &Labels) {
  assert(Labels.size() == metricInfo(Which).labelCount());
  std::map<MetricLabels, Value> &Values = All[Which];
  if (Values.size() < MaxLabelSets || Values.contains(Labels))
    return Values[Labels];
  return Values[MetricLabels(Labels.size(), "other")];
}

void Metrics::add(Metric Which, const MetricLabels &Labels,
                  std::uint64_t Count) {
  assert(metricInfo(Which).m_Kind == MetricKind::Counter);
  const std::lock_guard Lock(m_Mutex);
  findOrAdd(m_Counters, Which, Labels) += Count;
}

void Metrics::set(Metric Which, const MetricLabels &Labels, double Value) {
  assert(metricInfo(Which).m_Kind == MetricKind::Gauge);
  const std::lock_guard Lock(m_Mutex);
  findOrAdd(m_Gauges, Which, Labels) = Value;
}

void Metrics::setAll(Metric Which, std::map<MetricLabels, double> Values) {
  assert(metricInfo(Which).m_Kind == MetricKind::Gauge);
  assert(Values.size() <= MaxLabelSets);
  const std::lock_guard Lock(m_Mutex);
  m_Gauges[Which] = std::move(Values);
}

void Metrics::observe(Metric Which, const MetricLabels &Labels, Duration Time) {
  assert(metricInfo(Which).m_Kind == MetricKind::Histogram);
  const std::lock_guard Lock(m_Mutex);
  findOrAdd(m_Histograms, Which, Labels).add(Time);
}

std::uint64_t Metrics::counter(Metric Which, const MetricLabels &Labels) const {
  const std::lock_guard Lock(m_Mutex);
  const auto *Value = findValue(m_Counters, Which, Labels);
  return Value == nullptr ? 0 : *Value;
}

std::optional<Duration> Metrics::quantile(Metric Which,
                                          const MetricLabels &Labels,
                                          double Fraction) const {
  const std::lock_guard Lock(m_Mutex);
  const auto *Value = findValue(m_Histograms, Which, Labels);
  if (Value == nullptr)
    return std::nullopt;
  return Value->quantile(Fraction);
}

std::string Metrics::renderPrometheus() const {
  const std::lock_guard Lock(m_Mutex);
  std::string Text;
  for (const MetricInfo &Info : allMetrics()) {
    renderSeries(Text, Info, m_Counters);
    renderSeries(Text, Info, m_Gauges);
    renderSeries(Text, Info, m_Histograms);
  }
  return Text;
}

} // namespace ragwortmux
