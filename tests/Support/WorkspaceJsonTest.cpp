#include "ragwortmux/Process/Support/WorkspaceJson.h"

#include "ragwortmux/Process/Support/DigestKey.h"
#include "ragwortmux/Process/Support/KeyText.h"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>
#include <string>
#include <vector>

using namespace ragwortmux;

namespace {

const std::string Key = "a-key-of-alpha";
const KeyDigest Digest = digestKey(Key);
const KeyDigest OtherDigest = digestKey("another-key");

Workspace workspace(std::vector<KeyDigest> Keys) {
  return {WorkspaceId("alpha"), std::move(Keys), {50, 7}};
}

WorkspaceEdit edit(WorkspaceAction Action) {
  WorkspaceEdit Made;
  Made.m_Action = Action;
  return Made;
}

/// An edit's body and whether it is valid.
struct BodyCase final {
  WorkspaceAction m_Action; ///< The action.
  std::string m_Body;       ///< The JSON text.
  bool m_IsValid;           ///< True if it is accepted.
};

std::ostream &operator<<(std::ostream &Stream, const BodyCase &Case) {
  return Stream << workspaceActionName(Case.m_Action) << ' ' << Case.m_Body;
}

const std::string WholeDigest = formatDigest(Digest);

const std::vector<BodyCase> BodyCases = {
    {WorkspaceAction::Put, "{}", true},
    {WorkspaceAction::Put, R"({"rate_per_s":5,"burst":1})", true},
    {WorkspaceAction::Put, R"({"key_digests":[]})", true},
    {WorkspaceAction::Put, R"({"key_digests":[")" + WholeDigest + R"("]})",
     true},
    {WorkspaceAction::Put, R"({"key_digests":["a-key-of-alpha"]})", false},
    {WorkspaceAction::Put, R"({"key_digests":[7]})", false},
    {WorkspaceAction::Put, R"({"key_digests":"a-key-of-alpha"})", false},
    {WorkspaceAction::Put, R"({"rate_per_s":-1})", false},
    {WorkspaceAction::Put, R"({"rate_per_s":4294967296})", false},
    {WorkspaceAction::Put, R"({"keys":["a-key-of-alpha"]})", false},
    {WorkspaceAction::Put, R"("a-key-of-alpha")", false},
    {WorkspaceAction::AddKey,
     R"({"key":"a-key-of-alpha","key_digest":")" + WholeDigest + R"("})",
     false},
    {WorkspaceAction::Put, "", false},
    {WorkspaceAction::AddKey, R"({"key_digest":")" + WholeDigest + R"("})",
     true},
    {WorkspaceAction::AddKey, R"({"key_digest":"a-key-of-alpha"})", false},
    {WorkspaceAction::AddKey, "{}", false},
    {WorkspaceAction::RemoveKey, R"({"key_digest":"0123abcd"})", true},
    {WorkspaceAction::RemoveKey, R"({"key_digest":"0123abc"})", false},
    {WorkspaceAction::RemoveKey, R"({"key_digest":"0123ABCD"})", false},
    {WorkspaceAction::RemoveKey, R"({"key_digest":"0123abcd","burst":1})",
     false},
    {WorkspaceAction::SetLimit, R"({"rate_per_s":5,"burst":1})", true},
    {WorkspaceAction::SetLimit, R"({"rate_per_s":5})", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceJsonTest)

BOOST_DATA_TEST_CASE(EditBodiesAreChecked,
                     boost::unit_test::data::make(BodyCases), Case) {
  std::vector<SettingFault> Faults;
  const auto Parsed = parseWorkspaceEdit(Case.m_Action, Case.m_Body, Faults);
  BOOST_TEST(Parsed.has_value() == Case.m_IsValid, describeAll(Faults));
  BOOST_TEST(Faults.empty() == Case.m_IsValid);
  // A key that was sent in place of its digest must not come back.
  BOOST_TEST(describeAll(Faults).find(Key) == std::string::npos);
  if (Parsed) {
    Faults.clear();
    BOOST_TEST((parseWorkspaceEdit(Case.m_Action, formatWorkspaceEdit(*Parsed),
                                   Faults) == Parsed));
  }
}

BOOST_AUTO_TEST_CASE(EditsChangeWhatTheyName) {
  Workspace Changed = workspace({Digest});
  WorkspaceEdit Add = edit(WorkspaceAction::AddKey);
  Add.m_Keys = {OtherDigest};
  BOOST_TEST(applyWorkspaceEdit(Add, false, Changed) == "");
  BOOST_TEST((Changed == workspace({Digest, OtherDigest})));
  BOOST_TEST(applyWorkspaceEdit(Add, false, Changed) ==
             "the workspace has this key already");
  WorkspaceEdit Remove = edit(WorkspaceAction::RemoveKey);
  Remove.m_KeyDigest = formatShortDigest(Digest);
  BOOST_TEST(applyWorkspaceEdit(Remove, false, Changed) == "");
  BOOST_TEST((Changed == workspace({OtherDigest})));
  BOOST_TEST(applyWorkspaceEdit(Remove, false, Changed) ==
             "the workspace has no such key");
  WorkspaceEdit Limit = edit(WorkspaceAction::SetLimit);
  Limit.m_Limit = {9, 1};
  BOOST_TEST(applyWorkspaceEdit(Limit, false, Changed) == "");
  BOOST_TEST((Changed.m_Limit == WorkspaceLimit{9, 1}));
  BOOST_TEST((Changed.m_Keys == std::vector{OtherDigest}));
  // A put without keys leaves them as they are.
  BOOST_TEST(applyWorkspaceEdit(edit(WorkspaceAction::Put), false, Changed) ==
             "");
  BOOST_TEST((Changed.m_Keys == std::vector{OtherDigest}));
}

// The resend of an accepted change starts from what the change has made.
BOOST_AUTO_TEST_CASE(ResentEditChangesNothing) {
  WorkspaceEdit Add = edit(WorkspaceAction::AddKey);
  Add.m_Keys = {Digest};
  Workspace Changed = workspace({Digest});
  BOOST_TEST(applyWorkspaceEdit(Add, true, Changed) == "");
  BOOST_TEST((Changed == workspace({Digest})));
  WorkspaceEdit Remove = edit(WorkspaceAction::RemoveKey);
  Remove.m_KeyDigest = formatDigest(OtherDigest);
  BOOST_TEST(applyWorkspaceEdit(Remove, true, Changed) == "");
  BOOST_TEST((Changed == workspace({Digest})));
}

BOOST_AUTO_TEST_CASE(DigestPrefixOfSeveralKeysIsRefused) {
  const KeyDigest First(std::string(32, '\x11'));
  const KeyDigest Second(std::string(31, '\x11') + '\x22');
  Workspace Changed = workspace({First, Second});
  WorkspaceEdit Remove = edit(WorkspaceAction::RemoveKey);
  Remove.m_KeyDigest = "11111111";
  BOOST_TEST(applyWorkspaceEdit(Remove, false, Changed) != "");
  BOOST_TEST(Changed.m_Keys.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ShownWorkspaceHasOnlyFirstDigits) {
  const WorkspaceItem Item{Revision(7), workspace({Digest, OtherDigest})};
  const std::string Shown = boost::json::serialize(shownWorkspaceJson(Item));
  BOOST_TEST(Shown ==
             R"({"name":"alpha","revision":7,"rate_per_s":50,"burst":7,)"
             R"("keys":[")" +
                 WholeDigest.substr(0, 8) + R"(",")" +
                 formatDigest(OtherDigest).substr(0, 8) + R"("]})");
  const auto Whole = parseWholeWorkspace(wholeWorkspaceJson(Item));
  BOOST_TEST_REQUIRE(Whole.has_value());
  BOOST_TEST((*Whole == Item));
  BOOST_TEST(!parseWholeWorkspace(boost::json::parse("{}")).has_value());
  BOOST_TEST(!parseWholeWorkspace(boost::json::parse("[]")).has_value());
}

BOOST_AUTO_TEST_CASE(KeysAreReadByLine) {
  std::istringstream Good(Key + "\r\n\nanother-key");
  std::string Reason;
  BOOST_TEST((readKeys(Good, Reason) == std::vector{Digest, OtherDigest}));
  for (const std::string &Text :
       {std::string(), std::string("\n\n"), std::string("two words"),
        std::string("tab\there"), std::string(MaxKeyBytes + 1, 'k'),
        Key + "\n\x7f"}) {
    std::istringstream Bad(Text);
    Reason.clear();
    BOOST_TEST(!readKeys(Bad, Reason).has_value());
    BOOST_TEST(!Reason.empty());
    BOOST_TEST(Reason.find(Key) == std::string::npos);
  }
  std::istringstream Longest(std::string(MaxKeyBytes, 'k'));
  BOOST_TEST(readKeys(Longest, Reason).has_value());
}

BOOST_AUTO_TEST_CASE(DigestsAreParsed) {
  BOOST_TEST((parseDigest(WholeDigest) == Digest));
  for (const std::string &Text :
       {std::string(), WholeDigest.substr(1), WholeDigest + "0",
        std::string(64, 'g'), std::string(64, 'A')})
    BOOST_TEST(!parseDigest(Text).has_value(), Text);
}

BOOST_AUTO_TEST_SUITE_END()
