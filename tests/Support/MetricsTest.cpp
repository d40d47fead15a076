#include "ragwortmux/Process/Support/Metrics.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>
#include <thread>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

/// A quantile of the durations 1 to 1000 ms.
struct QuantileCase final {
  double m_Fraction;
  double m_Ms;
  double m_Tolerance;
};

std::ostream &operator<<(std::ostream &Stream, const QuantileCase &Case) {
  return Stream << Case.m_Fraction;
}

constexpr std::array<QuantileCase, 6> QuantileCases = {{{0.01, 10, 0.125},
                                                        {0.25, 250, 0.02},
                                                        {0.5, 500, 0.02},
                                                        {0.9, 900, 0.02},
                                                        {0.99, 990, 0.02},
                                                        {1, 1000, 1e-9}}};

double toMs(std::optional<Duration> Time) {
  BOOST_TEST_REQUIRE(Time.has_value());
  return std::chrono::duration<double, std::milli>(*Time).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(TableIsOrderedAndNamesFollowConvention) {
  std::uint8_t Next = 0;
  for (const MetricInfo &Info : allMetrics()) {
    BOOST_TEST(static_cast<std::uint8_t>(Info.m_Metric) == Next++);
    BOOST_TEST(&metricInfo(Info.m_Metric) == &Info);
    BOOST_TEST(Info.m_Name.starts_with("ragwortmux_"));
    BOOST_TEST(Info.m_Name.ends_with("_total") ==
               (Info.m_Kind == MetricKind::Counter));
    if (Info.m_Kind == MetricKind::Histogram)
      BOOST_TEST(Info.m_Name.ends_with("_seconds"));
  }
}

BOOST_AUTO_TEST_CASE(RendersPrometheusText) {
  Metrics All;
  All.add(Metric::Requests, {"booking", "ok"}, 2);
  All.add(Metric::Requests, {"booking", "ok"});
  All.set(Metric::GroupTerm, {"g\"1\\\n"}, 7);
  All.set(Metric::LeaseSeconds, {}, 0.25);
  const std::string Expected =
      "# HELP ragwortmux_requests_total Requests answered, by class of "
      "traffic and result code name.\n"
      "# TYPE ragwortmux_requests_total counter\n"
      "ragwortmux_requests_total{class=\"booking\",result=\"ok\"} 3\n"
      "# HELP ragwortmux_lease_seconds What is left of the lease; 0 without "
      "one.\n"
      "# TYPE ragwortmux_lease_seconds gauge\n"
      "ragwortmux_lease_seconds 0.25\n"
      "# HELP ragwortmux_group_term The group's term as this process knows "
      "it.\n"
      "# TYPE ragwortmux_group_term gauge\n"
      "ragwortmux_group_term{group=\"g\\\"1\\\\\\n\"} 7\n";
  BOOST_TEST(All.renderPrometheus() == Expected);
}

BOOST_AUTO_TEST_CASE(HistogramsRenderCumulativeBuckets) {
  Metrics All;
  for (const Duration Time : {Duration(50us), Duration(2ms), Duration(2s)})
    All.observe(Metric::ConnectSeconds, {"g1"}, Time);
  std::istringstream Text(All.renderPrometheus());
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Text, Line);)
    Lines.push_back(Line);
  const std::string Name = "ragwortmux_connect_seconds";
  BOOST_TEST_REQUIRE(Lines.size() == 20U);
  BOOST_TEST(Lines[2] == Name + R"(_bucket{group="g1",le="0.0001"} 1)");
  BOOST_TEST(Lines[4] == Name + R"(_bucket{group="g1",le="0.001"} 1)");
  BOOST_TEST(Lines[5] == Name + R"(_bucket{group="g1",le="0.00316228"} 2)");
  BOOST_TEST(Lines[16] == Name + R"(_bucket{group="g1",le="1000"} 3)");
  BOOST_TEST(Lines[17] == Name + R"(_bucket{group="g1",le="+Inf"} 3)");
  BOOST_TEST(Lines[18] == Name + R"(_sum{group="g1"} 2.002050)");
  BOOST_TEST(Lines[19] == Name + R"(_count{group="g1"} 3)");
}

BOOST_DATA_TEST_CASE(QuantilesAreInterpolated,
                     boost::unit_test::data::make(QuantileCases), Case) {
  Metrics All;
  const MetricLabels Labels = {"booking", "ok"};
  for (int Ms = 1; Ms <= 1000; ++Ms)
    All.observe(Metric::RequestSeconds, Labels, std::chrono::milliseconds(Ms));
  // A bin is 12.2 percent wide; interpolation is much more accurate where a bin
  // contains many durations.
  BOOST_TEST(toMs(All.quantile(Metric::RequestSeconds, Labels,
                               Case.m_Fraction)) == Case.m_Ms,
             boost::test_tools::tolerance(Case.m_Tolerance));
}

BOOST_AUTO_TEST_CASE(QuantilesOutsideTheBinRange) {
  LatencyHistogram Times;
  BOOST_TEST(!Times.quantile(0.5).has_value());
  Times.add(Duration(0));
  BOOST_TEST(toMs(Times.quantile(1)) == 0);
  Times.add(2h);
  BOOST_TEST(toMs(Times.quantile(1)) == 7.2e6);
  BOOST_TEST(Times.count() == 2U);
  BOOST_TEST(Times.buckets().back().m_Cumulative == 1U);
}

BOOST_AUTO_TEST_CASE(TooManyLabelSetsCountAsOther) {
  Metrics All;
  for (std::size_t Number = 0; Number < Metrics::MaxLabelSets + 5; ++Number)
    All.add(Metric::Retries, {std::to_string(Number)});
  BOOST_TEST(All.counter(Metric::Retries, {"0"}) == 1U);
  BOOST_TEST(All.counter(Metric::Retries, {"other"}) == 5U);
  BOOST_TEST(All.counter(Metric::Elections) == 0U);
}

BOOST_AUTO_TEST_CASE(ConcurrentUpdatesAreAllCounted) {
  constexpr int PerThread = 2000;
  Metrics All;
  const auto Count = [&] {
    for (int Number = 0; Number < PerThread; ++Number) {
      All.add(Metric::Elections);
      All.observe(Metric::LogSyncSeconds, {}, 1ms);
    }
  };
  {
    std::jthread First(Count);
    std::jthread Second(Count);
  }
  BOOST_TEST(All.counter(Metric::Elections) == 2U * PerThread);
  BOOST_TEST(
      All.renderPrometheus().find("ragwortmux_log_sync_seconds_count 4000\n") !=
      std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
