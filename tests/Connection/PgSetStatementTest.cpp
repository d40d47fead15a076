#include "ragwortmux/Connection/Codec/PgSetStatement.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ragwortmux;

namespace {

struct SetCase final {
  const char *m_Sql;  ///< The query.
  const char *m_Name; ///< Expected name; null if not recognised.
  std::optional<std::string> m_Value; ///< Expected value.

  friend std::ostream &operator<<(std::ostream &Output, const SetCase &C) {
    return Output << C.m_Sql;
  }
};

const SetCase SetCases[] = {
    {"SET ragwortmux.session = 'desk 7'", "session", "desk 7"},
    {"set RagwortMux.Session to 'it''s'", "session", "it's"},
    {"  SET\tragwortmux.max_age_ms\n=\n250 ; ", "max_age_ms", "250"},
    {"SET ragwortmux.key='018f-AB'", "key", "018f-AB"},
    {"SET ragwortmux.class TO Booking", "class", "Booking"},
    {"SET ragwortmux.token = 4:17", "token", "4:17"},
    {"SET ragwortmux.empty = ''", "empty", ""},
    {"SET ragwortmux.class = default", "class", std::nullopt},
    {"SET ragwortmux.class = 'default'", "class", "default"},
    {"RESET ragwortmux.session", "session", std::nullopt},
    {"reset RAGWORTMUX.SESSION;", "session", std::nullopt},
    {"", nullptr, {}},
    {";", nullptr, {}},
    {"SET", nullptr, {}},
    {"SET ragwortmux. = 'x'", nullptr, {}},
    {"SET ragwortmux.a", nullptr, {}},
    {"SET ragwortmux.a =", nullptr, {}},
    {"SET ragwortmux.a = ;", nullptr, {}},
    {"SET ragwortmux.a 'x'", nullptr, {}},
    {"SET ragwortmux.a = 'x", nullptr, {}},
    {"SET ragwortmux.a = 'x' 'y'", nullptr, {}},
    {"SET ragwortmux.a = x y", nullptr, {}},
    {"SET ragwortmux.a = 'x';;", nullptr, {}},
    {"SET ragwortmux.a = 'x'; SELECT 1", nullptr, {}},
    {"SET search_path = 'x'", nullptr, {}},
    {"SET xragwortmux.a = 'x'", nullptr, {}},
    {"RESET ragwortmux.a = 'x'", nullptr, {}},
    {"RESET ALL", nullptr, {}},
    {"SETragwortmux.a = 'x'", nullptr, {}},
    {"INSERT INTO t VALUES ('SET ragwortmux.a', 'x')", nullptr, {}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(PgSetStatementTest)

BOOST_DATA_TEST_CASE(ParsesOnlySettingStatements,
                     boost::unit_test::data::make(SetCases), Case) {
  const auto Parsed = parsePgSetStatement(Case.m_Sql);
  BOOST_REQUIRE(Parsed.has_value() == (Case.m_Name != nullptr));
  if (Parsed) {
    BOOST_TEST(Parsed->m_Name == Case.m_Name);
    BOOST_TEST((Parsed->m_Value == Case.m_Value));
  }
}

BOOST_AUTO_TEST_SUITE_END()
