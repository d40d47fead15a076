#include "ragwortmux/Version/CatalogueCache.h"
#include "ragwortmux/Version/ControlState.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace ragwortmux {

namespace {

namespace data = boost::unit_test::data;

KeyDigest key(char Letter) {
  return KeyDigest(std::string(Workspace::KeyDigestBytes, Letter));
}

Workspace workspace(const std::string &Name, const std::string &Keys,
                    std::uint32_t Rate = 0) {
  Workspace Made;
  Made.m_Name = WorkspaceId(Name);
  for (const char Letter : Keys)
    Made.m_Keys.push_back(key(Letter));
  Made.m_Limit = {Rate, Rate};
  return Made;
}

ReplaceCatalogue replacement(std::uint64_t Version,
                             std::vector<Workspace> Workspaces) {
  ReplaceCatalogue Command;
  Command.m_Version = CatalogueVersion(Version);
  Command.m_Workspaces = std::move(Workspaces);
  return Command;
}

PutWorkspace put(std::uint64_t Expected, const std::string &Change,
                 const Workspace &Changed) {
  return {Revision(Expected), ChangeId(Change), "olga", Changed};
}

/// The replicated state and the copy of an entry host.
struct WorkspaceFixture {
  ResultCode apply(const ControlCommand &Command) {
    return m_State.apply(Command).m_Code;
  }
  /// Sends the entry host what it lacks.
  void update() {
    m_Cache.apply(m_State.catalogue().deltaSince(m_Cache.revision()));
  }
  /// Name of the workspace that holds key \p Letter at the entry host.
  std::string holder(char Letter) const {
    const auto Found = m_Cache.findWorkspace(key(Letter));
    return Found == nullptr ? std::string() : Found->m_Name.value();
  }

  ControlState m_State;
  CatalogueCache m_Cache;
};

/// Workspaces that cannot be in force together.
struct InvalidRow {
  const char *m_Name;
  std::vector<Workspace> m_Workspaces;
  friend std::ostream &operator<<(std::ostream &Out, const InvalidRow &Row) {
    return Out << Row.m_Name;
  }
};

const std::vector<InvalidRow> InvalidRows = {
    {"a key of two workspaces", {workspace("a", "k"), workspace("b", "k")}},
    {"a key twice", {workspace("a", "kk")}},
    {"a name twice", {workspace("a", "k"), workspace("a", "l")}},
    {"an empty name", {workspace("", "k")}},
    {"a blank in the name", {workspace("a b", "k")}},
    {"a long name", {workspace(std::string(64, 'a'), "k")}},
    {"too many keys", {[] {
       Workspace Many = workspace("a", "");
       for (std::size_t Index = 0; Index <= Workspace::MaxKeys; ++Index) {
         std::string Digest(Workspace::KeyDigestBytes, 'x');
         Digest[0] = static_cast<char>(Index);
         Many.m_Keys.emplace_back(Digest);
       }
       return Many;
     }()}},
    {"a digest of the wrong size",
     {Workspace{WorkspaceId("a"), {KeyDigest("short")}, {}}}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceTableTest)

// Guards against acknowledging workspaces whose keys are ambiguous.
BOOST_DATA_TEST_CASE_F(WorkspaceFixture, InvalidWorkspacesAreRefused,
                       data::make(InvalidRows)) {
  BOOST_CHECK(apply(replacement(1, sample.m_Workspaces)) ==
              ResultCode::CatalogueInvalid);
  BOOST_CHECK_EQUAL(m_State.catalogue().version().value(), 0U);
  BOOST_CHECK_EQUAL(m_State.catalogue().workspaces().size(), 0U);
}

// Guards against a key that still opens its old workspace on an entry host
// after it was removed, moved or deleted with its workspace.
BOOST_FIXTURE_TEST_CASE(KeysFollowVersions, WorkspaceFixture) {
  apply(replacement(1, {workspace("a", "kl"), workspace("b", "m")}));
  update();
  BOOST_CHECK_EQUAL(holder('k'), "a");
  BOOST_CHECK_EQUAL(holder('m'), "b");
  BOOST_CHECK_EQUAL(holder('x'), "");
  // A key moves in either direction within one version.
  apply(replacement(2, {workspace("a", "m"), workspace("b", "k")}));
  update();
  BOOST_CHECK_EQUAL(holder('m'), "a");
  BOOST_CHECK_EQUAL(holder('k'), "b");
  BOOST_CHECK_EQUAL(holder('l'), "");
  apply(replacement(3, {workspace("a", "")}));
  update();
  BOOST_CHECK_EQUAL(holder('m'), "");
  BOOST_CHECK_EQUAL(holder('k'), "");
  BOOST_CHECK(m_Cache.workspace(WorkspaceId("a")) != nullptr);
  BOOST_CHECK(m_Cache.workspace(WorkspaceId("b")) == nullptr);
}

// Guards against deltas that grow with the number of workspaces.
BOOST_FIXTURE_TEST_CASE(UnchangedWorkspacesAreNotSentAgain, WorkspaceFixture) {
  apply(replacement(1, {workspace("a", "k"), workspace("b", "l")}));
  update();
  apply(replacement(2, {workspace("a", "k"), workspace("b", "l", 5)}));
  const CatalogueDelta Delta =
      m_State.catalogue().deltaSince(m_Cache.revision());
  BOOST_REQUIRE_EQUAL(Delta.m_Workspaces.size(), 1U);
  BOOST_CHECK_EQUAL(Delta.m_Workspaces[0].m_Workspace.m_Name.value(), "b");
}

// Guards against two operators overwriting each other, and against a resend
// that is refused or runs twice.
BOOST_FIXTURE_TEST_CASE(ChangesCompareAndSet, WorkspaceFixture) {
  BOOST_CHECK(apply(put(0, "1", workspace("a", "k"))) == ResultCode::Ok);
  BOOST_CHECK(apply(put(0, "1", workspace("a", "k"))) == ResultCode::Ok);
  BOOST_CHECK_EQUAL(m_State.catalogue().revision().value(), 1U);
  BOOST_CHECK(apply(put(0, "1", workspace("a", "l"))) ==
              ResultCode::BadArgument);
  BOOST_CHECK(apply(put(0, "2", workspace("a", "l"))) ==
              ResultCode::CatalogueConflict);
  BOOST_CHECK(apply(put(1, "3", workspace("a", "l"))) == ResultCode::Ok);
  BOOST_CHECK(apply(put(0, "4", workspace("b", "l"))) ==
              ResultCode::CatalogueInvalid);
  BOOST_CHECK(apply(put(0, "5", workspace("b", "k"))) == ResultCode::Ok);
  update();
  BOOST_CHECK_EQUAL(holder('l'), "a");
  BOOST_CHECK_EQUAL(holder('k'), "b");
  BOOST_CHECK(apply(DeleteWorkspace{Revision(2), ChangeId("6"), "olga",
                                    WorkspaceId("a")}) == ResultCode::Ok);
  update();
  BOOST_CHECK_EQUAL(holder('l'), "");
}

// Guards against workspaces that are lost with a restart from a snapshot.
BOOST_FIXTURE_TEST_CASE(SnapshotHoldsWorkspaces, WorkspaceFixture) {
  apply(replacement(1, {workspace("a", "k", 7), workspace("b", "l")}));
  apply(replacement(2, {workspace("a", "k", 7)}));
  ControlState Restored;
  Restored.importData(m_State.exportData());
  BOOST_CHECK(Restored.exportData() == m_State.exportData());
  BOOST_CHECK(Restored.apply(put(0, "1", workspace("c", "k"))).m_Code ==
              ResultCode::CatalogueInvalid);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ragwortmux
