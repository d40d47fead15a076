#include "ragwortmux/Process/Backend/SessionCommands.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace ragwortmux;

namespace {

/// A completed command and whether it changes the session.
struct CommandCase final {
  const char *m_Tag; ///< Command tag.
  const char *m_Sql; ///< The whole message.
  bool m_Expected;   ///< State outlives the transaction.
};

std::ostream &operator<<(std::ostream &Stream, const CommandCase &Case) {
  return Stream << Case.m_Tag << " of " << Case.m_Sql;
}

const std::vector<CommandCase> CommandCases = {
    {"SELECT 1", "SELECT 1", false},
    {"INSERT 0 1", "INSERT INTO t VALUES (1)", false},
    {"BEGIN", "BEGIN", false},
    {"COMMIT", "COMMIT", false},
    {"SHOW", "SHOW work_mem", false},
    {"SET", "SET work_mem = '1MB'", true},
    {"SET", "set session work_mem to '1MB';", true},
    {"SET", "SET localtime_format = 'x'", true},
    {"SET", " set\n LOCAL work_mem = '1MB' ; ", false},
    {"SET", "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", false},
    {"SET", "SET LOCAL a = 1; SET b = 2", true},
    {"SET", "", true},
    {"RESET", "RESET ALL", true},
    {"PREPARE", "PREPARE p AS SELECT 1", true},
    {"DEALLOCATE", "DEALLOCATE p", true},
    {"DISCARD ALL", "DISCARD ALL", true},
    {"LISTEN", "LISTEN c", true},
    {"UNLISTEN", "UNLISTEN c", true},
    {"DECLARE CURSOR", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SessionCommandsTest)

// Guards against session state of one caller that the next one meets.
BOOST_DATA_TEST_CASE(CommandsThatOutliveTheirTransaction,
                     boost::unit_test::data::make(CommandCases), Case) {
  BOOST_TEST(changesSession(Case.m_Tag, Case.m_Sql) == Case.m_Expected);
}

BOOST_AUTO_TEST_SUITE_END()
