#include "ragwortmux/Process/Entry/WorkspaceMetrics.h"

#include "ragwortmux/Process/Support/Metrics.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ragwortmux {

void WorkspaceMetrics::setCallers(const WorkspaceCounts &Callers) {
  std::vector<std::pair<WorkspaceId, std::size_t>> Largest(Callers.begin(),
                                                           Callers.end());
  const auto Shown = std::min(MaxShown, Largest.size());
  const auto End = Largest.begin() + static_cast<std::ptrdiff_t>(Shown);
  std::ranges::partial_sort(Largest, End,
                            [](const auto &Left, const auto &Right) {
                              return std::pair(Right.second, Left.first) <
                                     std::pair(Left.second, Right.first);
                            });
  m_Shown.clear();
  std::map<MetricLabels, double> Values;
  for (auto Each = Largest.begin(); Each != Largest.end(); ++Each) {
    const bool IsShown = Each < End;
    if (IsShown)
      m_Shown.insert(Each->first);
    Values[{IsShown ? Each->first.value() : AllOthers}] +=
        static_cast<double>(Each->second);
  }
  m_Metrics.setAll(Metric::WorkspaceCallers, std::move(Values));
}

void WorkspaceMetrics::countRefusedKey(const WorkspaceId &Previous) {
  m_Metrics.add(Metric::RefusedKeys, {refusalLabel(Previous)});
}

std::string WorkspaceMetrics::refusalLabel(const WorkspaceId &Previous) {
  if (Previous.value().empty())
    return NoWorkspace;
  if (!m_Counted.contains(Previous)) {
    if (!m_Shown.contains(Previous) || m_Counted.size() >= MaxCounted)
      return AllOthers;
    m_Counted.insert(Previous);
  }
  return Previous.value();
}

} // namespace ragwortmux
