#include "ragwortmux/Connection/WorkspaceScope.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortmux;

BOOST_AUTO_TEST_SUITE(WorkspaceScopeTest)

// Two callers must share a session only if they have the same workspace and the
// same name, whatever names they choose.
BOOST_AUTO_TEST_CASE(DifferentCallersGetDifferentSessions) {
  const std::vector<std::string> Workspaces = {"", "a", "b", "aa"};
  const std::vector<std::string> Names = {
      "s", "a", "as", "\001", "\001\001s", "\001a\001s", "\001a\001", "\001a"};
  std::set<SessionName> Scoped;
  for (const std::string &Workspace : Workspaces) {
    for (const std::string &Name : Names)
      Scoped.insert(
          scopeToWorkspace(WorkspaceId(Workspace), SessionName(Name)));
  }
  BOOST_TEST(Scoped.size() == Workspaces.size() * Names.size());
}

// Without workspaces sessions and owners keep the names that they have had.
BOOST_AUTO_TEST_CASE(NamesWithoutWorkspaceStayAsTheyAre) {
  BOOST_TEST((scopeToWorkspace(WorkspaceId(), SessionName("clerk")) ==
              SessionName("clerk")));
  BOOST_TEST((scopeToWorkspace(WorkspaceId(), OwnerId("Haddow & Sons")) ==
              OwnerId("Haddow & Sons")));
  // An empty name means that the caller has no session.
  BOOST_TEST(
      (scopeToWorkspace(WorkspaceId("a"), SessionName()) == SessionName()));
}

BOOST_AUTO_TEST_SUITE_END()
