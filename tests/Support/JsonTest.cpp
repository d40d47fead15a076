#include "ragwortmux/Process/Support/BackendAnnouncement.h"
#include "ragwortmux/Process/Support/CatalogueJson.h"
#include "ragwortmux/Version/Catalogue.h"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace ragwortmux;
using namespace std::chrono_literals;

namespace {

constexpr const char *ValidEntry =
    R"({"name":"bookings","group":"depot-1","owner":"Haddow & Sons",)"
    R"("class":"aged-read","max_concurrent":4,"max_queued":0,)"
    R"("deadline_ms":250,"max_answer_bytes":2048,"max_age_ms":1500,)"
    R"("requires_key":true})";

constexpr const char *ValidAnnouncement =
    R"({"group":"depot-1","server":"s1","domain":"hobart",)"
    R"("address":"10.0.0.7","port":5432,"role":"primary","term":3,)"
    R"("position":99,"slots":3,"connections":35,"leaving":true})";

/// A field that replaces the one of a valid text, and the expected fault.
struct FieldCase final {
  const char *m_Field; ///< Name of the field; added if the text has none.
  const char *m_Json;  ///< Its new value; empty: the field is removed.
  const char *m_Value; ///< Value in the fault; empty: no fault; null: the fault
                       ///< is that of max_age_ms.
};

std::ostream &operator<<(std::ostream &Stream, const FieldCase &Case) {
  return Stream << Case.m_Field << '=' << Case.m_Json;
}

std::string withChangedField(const char *Valid, const FieldCase &Case) {
  boost::json::object Object = boost::json::parse(Valid).as_object();
  if (*Case.m_Json == '\0')
    Object.erase(Case.m_Field);
  else
    Object[Case.m_Field] = boost::json::parse(Case.m_Json);
  return boost::json::serialize(Object);
}

/// Checks that exactly the fault of \p Case was reported.
void checkReportedFault(const FieldCase &Case, bool IsParsed, ResultCode Code,
                        const std::vector<SettingFault> &Faults) {
  const bool IsValid = *Case.m_Value == '\0';
  BOOST_TEST(IsParsed == IsValid);
  BOOST_TEST_REQUIRE(Faults.size() == (IsValid ? 0U : 1U), describeAll(Faults));
  if (IsValid)
    return;
  BOOST_TEST((Faults.front().m_Code == Code));
  BOOST_TEST(Faults.front().m_Name == Case.m_Field);
  BOOST_TEST(Faults.front().m_Value == Case.m_Value);
  BOOST_TEST(!Faults.front().m_Allowed.empty());
}

constexpr std::array<FieldCase, 36> EntryCases = {{
    {"name", "", "(missing)"},
    {"name", "7", "7"},
    {"name", "\"\"", "\"\""},
    {"name", "\"A\"", "\"A\""},
    {"group", "", "(missing)"},
    {"group", "null", "null"},
    {"owner", "", "(missing)"},
    {"owner", "\"a\\nb\"", "\"a\\nb\""},
    {"owner", "\"\\u00c5se\"", ""},
    {"class", "", "(missing)"},
    {"class", "\"Booking\"", "\"Booking\""},
    {"class", "\"booking\"", nullptr},
    {"max_concurrent", "", ""},
    {"max_concurrent", "0", "0"},
    {"max_concurrent", "1", ""},
    {"max_concurrent", "1000", ""},
    {"max_concurrent", "1001", "1001"},
    {"max_concurrent", "\"4\"", "\"4\""},
    {"max_concurrent", "4.0", "4E0"},
    {"max_queued", "-1", "-1"},
    {"max_queued", "10000", ""},
    {"max_queued", "10001", "10001"},
    {"deadline_ms", "9", "9"},
    {"deadline_ms", "600000", ""},
    {"deadline_ms", "600001", "600001"},
    {"max_answer_bytes", "1023", "1023"},
    {"max_answer_bytes", "67108864", ""},
    {"max_answer_bytes", "67108865", "67108865"},
    {"max_age_ms", "86400000", ""},
    {"max_age_ms", "86400001", "86400001"},
    {"max_age_ms", "18446744073709551616", "1.8446744073709552E19"},
    {"requires_key", "", ""},
    {"requires_key", "false", ""},
    {"requires_key", "\"yes\"", "\"yes\""},
    {"Max_age_ms", "1", "1"},
    {"revision", "{}", "{}"},
}};

constexpr std::array<FieldCase, 29> AnnouncementCases = {{
    {"group", "", "(missing)"},
    {"group", "\"two words\"", "\"two words\""},
    {"server", "", "(missing)"},
    {"server", "[]", "[]"},
    {"domain", "", "(missing)"},
    {"domain", "false", "false"},
    {"address", "", "(missing)"},
    {"address", "\"db.example\"", "\"db.example\""},
    {"address", "\"fe80::1\"", ""},
    {"address", "\"10.0.0.7\\u0000\"", "\"10.0.0.7\\u0000\""},
    {"port", "", "(missing)"},
    {"port", "0", "0"},
    {"port", "65536", "65536"},
    {"port", "\"5432\"", "\"5432\""},
    {"role", "", "(missing)"},
    {"role", "\"leader\"", "\"leader\""},
    {"term", "", "(missing)"},
    {"term", "-1", "-1"},
    {"term", "9223372036854775807", ""},
    {"term", "9223372036854775808", "9223372036854775808"},
    {"position", "", "(missing)"},
    {"position", "1.5", "1.5E0"},
    {"slots", "0", "0"},
    {"slots", "10001", "10001"},
    {"connections", "", "(missing)"},
    {"connections", "100001", "100001"},
    {"leaving", "", ""},
    {"leaving", "\"no\"", "\"no\""},
    {"version", "15", ""},
}};

} // namespace

BOOST_AUTO_TEST_SUITE(JsonTest)

BOOST_AUTO_TEST_CASE(CatalogueEntryRoundTrips) {
  std::vector<SettingFault> Faults;
  const auto Entry = parseCatalogueEntry(ValidEntry, Faults);
  BOOST_TEST_REQUIRE(Entry.has_value(), describeAll(Faults));
  BOOST_TEST(Entry->m_Owner.value() == "Haddow & Sons");
  BOOST_TEST((Entry->m_Class == TrafficClass::AgedRead));
  BOOST_TEST((Entry->m_Limits.m_RequestDeadline == 250ms));
  BOOST_TEST((Entry->m_Limits.m_MaxAge == 1500ms));
  BOOST_TEST(Entry->m_RequiresKey);
  BOOST_TEST(formatCatalogueEntry(*Entry) == ValidEntry);
}

BOOST_AUTO_TEST_CASE(OmittedLimitsHaveDefaults) {
  std::vector<SettingFault> Faults;
  const auto Entry = parseCatalogueEntry(
      R"({"name":"a","group":"g","owner":"o","class":"write"})", Faults);
  BOOST_TEST_REQUIRE(Entry.has_value(), describeAll(Faults));
  BOOST_TEST((Entry->m_Limits == EntryLimits()));
  BOOST_TEST(!Entry->m_RequiresKey);
}

BOOST_DATA_TEST_CASE(InvalidEntryFieldIsReportedByName,
                     boost::unit_test::data::make(EntryCases), Case) {
  std::vector<SettingFault> Faults;
  const auto Entry =
      parseCatalogueEntry(withChangedField(ValidEntry, Case), Faults);
  // Another class does not allow the maximum age of the valid text.
  const FieldCase Expected =
      Case.m_Value == nullptr ? FieldCase{"max_age_ms", "", "1500"} : Case;
  checkReportedFault(Expected, Entry.has_value(), ResultCode::CatalogueInvalid,
                     Faults);
  // An entry that is accepted here is also valid for the catalogue.
  if (Entry)
    BOOST_TEST(Catalogue::validate(*Entry) == "");
}

BOOST_AUTO_TEST_CASE(EveryInvalidEntryFieldIsReported) {
  std::vector<SettingFault> Faults;
  BOOST_TEST(!parseCatalogueEntry(R"({"max_queued":-1,"x":1})", Faults));
  BOOST_TEST(Faults.size() == 6U, describeAll(Faults));
}

BOOST_AUTO_TEST_CASE(AnnouncementIsParsed) {
  std::vector<SettingFault> Faults;
  const auto Parsed = parseBackendAnnouncement(ValidAnnouncement, Faults);
  BOOST_TEST_REQUIRE(Parsed.has_value(), describeAll(Faults));
  const BackendAnnouncement Expected{GroupId("depot-1"),
                                     ServerId("s1"),
                                     FailureDomainId("hobart"),
                                     "10.0.0.7",
                                     5432,
                                     AnnouncedRole::Primary,
                                     Term(3),
                                     LogPosition(99),
                                     3,
                                     35,
                                     true};
  BOOST_TEST((*Parsed == Expected));
}

BOOST_DATA_TEST_CASE(InvalidAnnouncementFieldIsReportedByName,
                     boost::unit_test::data::make(AnnouncementCases), Case) {
  std::vector<SettingFault> Faults;
  const auto Parsed = parseBackendAnnouncement(
      withChangedField(ValidAnnouncement, Case), Faults);
  checkReportedFault(Case, Parsed.has_value(), ResultCode::BadArgument, Faults);
}

BOOST_AUTO_TEST_CASE(TextsOtherThanJsonObjectsAreRejected) {
  const std::string Deep(1000, '[');
  const std::vector<std::string> Texts = {"",
                                          "[]",
                                          "7",
                                          "{",
                                          R"({"name":})",
                                          std::string(ValidEntry) + "x",
                                          "\xff\xfe",
                                          Deep,
                                          std::string(ValidEntry) +
                                              std::string(64U << 10U, ' ')};
  for (const std::string &Text : Texts) {
    std::vector<SettingFault> Faults;
    BOOST_TEST(!parseCatalogueEntry(Text, Faults));
    BOOST_TEST(!parseBackendAnnouncement(Text, Faults));
    BOOST_TEST_REQUIRE(Faults.size() == 2U);
    BOOST_TEST(Faults.front().m_Name == "(text)");
  }
}

BOOST_AUTO_TEST_SUITE_END()
