#include "ragwortmux/Process/Entry/CallerEnd.h"
#include "tests/Support/LogCapture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

using std::chrono::milliseconds;

struct EndCase final {
  const char *m_Name;         ///< What was left.
  void (*m_Set)(CallerEnd &); ///< Sets it.
  const char *m_Fields;       ///< Expected fields; empty: no line.

  friend std::ostream &operator<<(std::ostream &Stream, const EndCase &Case) {
    return Stream << Case.m_Name;
  }
};

const std::vector<EndCase> Ends = {
    {"nothing", [](CallerEnd &) {}, ""},
    {"a running statement",
     [](CallerEnd &End) {
       End.m_Statement = StatementId("q1");
       End.m_Running = milliseconds(7);
     },
     "running_ms=7 queued_lines=0 unread_bytes=0 unsent_bytes=0 id=q1"},
    {"a queued line", [](CallerEnd &End) { End.m_QueuedLines = 1; },
     "running_ms=0 queued_lines=1 unread_bytes=0 unsent_bytes=0\n"},
    {"unread bytes", [](CallerEnd &End) { End.m_UnreadBytes = 30; },
     "running_ms=0 queued_lines=0 unread_bytes=30 unsent_bytes=0\n"},
    {"unsent bytes", [](CallerEnd &End) { End.m_UnsentBytes = 9; },
     "running_ms=0 queued_lines=0 unread_bytes=0 unsent_bytes=9\n"}};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerEndTest)

BOOST_DATA_TEST_CASE(EndWithWorkLeftIsLogged,
                     boost::unit_test::data::make(Ends), Case) {
  const LogCapture Log;
  CallerEnd End;
  End.m_Reason = "closed idle";
  Case.m_Set(End);
  logCallerEnd(End);
  const std::string Expected(Case.m_Fields);
  const std::string Text = Log.text();
  BOOST_TEST(Text.empty() == Expected.empty(), Text);
  BOOST_TEST(Text.find(Expected) != std::string::npos, Text);
  BOOST_TEST((Text.find("reason=closed idle") != std::string::npos) ==
                 !Expected.empty(),
             Text);
}

BOOST_AUTO_TEST_SUITE_END()
