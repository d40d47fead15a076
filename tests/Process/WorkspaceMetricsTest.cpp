#include "ragwortmux/Process/Entry/WorkspaceMetrics.h"

#include "ragwortmux/Process/Support/Metrics.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace ragwortmux;

namespace {

WorkspaceId name(std::size_t Index) {
  return WorkspaceId("w" + std::to_string(Index));
}

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceMetricsTest)

// A label for each of 100,000 workspaces would fill the monitoring system.
BOOST_AUTO_TEST_CASE(OnlyLargestWorkspacesHaveLabels) {
  Metrics Recorded;
  WorkspaceMetrics Updated(Recorded);
  WorkspaceCounts Counts;
  for (std::size_t Index = 1; Index <= 100; ++Index)
    Counts[name(Index)] = Index;
  Updated.setCallers(Counts);
  std::string Text = Recorded.renderPrometheus();
  BOOST_TEST(countOf(Text, "\nragwortmux_workspace_callers{") ==
             WorkspaceMetrics::MaxShown + 1);
  BOOST_TEST(countOf(Text, "{workspace=\"w100\"} 100") == 1U);
  BOOST_TEST(countOf(Text, "{workspace=\"w93\"} 93") == 1U);
  // 1 + 2 + ... + 92.
  BOOST_TEST(countOf(Text, "{workspace=\"all others\"} 4278") == 1U);
  // A workspace whose callers have left disappears.
  Updated.setCallers({{name(7), 3}});
  Text = Recorded.renderPrometheus();
  BOOST_TEST(countOf(Text, "\nragwortmux_workspace_callers{") == 1U);
  BOOST_TEST(countOf(Text, "{workspace=\"w7\"} 3") == 1U);
}

BOOST_AUTO_TEST_CASE(RefusedKeysHaveBoundedLabels) {
  Metrics Recorded;
  WorkspaceMetrics Updated(Recorded);
  for (std::size_t Index = 0; Index < 1000; ++Index) {
    Updated.setCallers({{name(Index), 1}});
    Updated.countRefusedKey(name(Index));
  }
  Updated.countRefusedKey(WorkspaceId());
  Updated.countRefusedKey(WorkspaceId("without-callers"));
  const auto Count = [&](const std::string &Label) {
    return Recorded.counter(Metric::RefusedKeys, {Label});
  };
  BOOST_TEST(Count("w0") == 1U);
  BOOST_TEST(Count(WorkspaceMetrics::NoWorkspace) == 1U);
  BOOST_TEST(Count(WorkspaceMetrics::AllOthers) ==
             1001U - WorkspaceMetrics::MaxCounted);
  BOOST_TEST(countOf(Recorded.renderPrometheus(),
                     "\nragwortmux_refused_keys_total{") ==
             WorkspaceMetrics::MaxCounted + 2);
}

BOOST_AUTO_TEST_SUITE_END()
