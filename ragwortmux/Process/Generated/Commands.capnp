@0xaed4fe328cd7d648;

# The commands of the control log and the snapshot of the replicated state. Stored on disk: fields are only added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ragwortmux::stored");

struct Entry {
  # A catalogue entry.
  name @0 :Text;
  group @1 :Text;
  owner @2 :Text;
  trafficClass @3 :UInt8;
  maxConcurrent @4 :UInt32;
  maxQueued @5 :UInt32;
  deadlineUs @6 :Int64;
  maxAnswerBytes @7 :UInt32;
  maxAgeUs @8 :Int64;
  latencyTargetUs @9 :Int64;
  transactionIdleUs @10 :Int64;
  priority @11 :UInt32;
  requiresKey @12 :Bool;
}

struct Workspace {
  name @0 :Text;
  keys @1 :List(Data);
  # Digests.
  ratePerSecond @2 :UInt32;
  burst @3 :UInt32;
}

struct PutWorkspace {
  expected @0 :UInt64;
  change @1 :Text;
  operatorName @2 :Text;
  workspace @3 :Workspace;
}

struct DeleteWorkspace {
  expected @0 :UInt64;
  change @1 :Text;
  operatorName @2 :Text;
  name @3 :Text;
}

struct PutEntry {
  expected @0 :UInt64;
  change @1 :Text;
  operatorName @2 :Text;
  entry @3 :Entry;
}

struct DeleteEntry {
  expected @0 :UInt64;
  change @1 :Text;
  operatorName @2 :Text;
  name @3 :Text;
}

struct OpenSession {
  host @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  rpcPort @4 :UInt16;
}

struct EndSession {
  session @0 :UInt64;
}

struct RegisterServer {
  group @0 :Text;
  server @1 :Text;
  domain @2 :Text;
  address @3 :Text;
  port @4 :UInt16;
  slots @5 :UInt32;
  connectionLimit @6 :UInt32;
  replication @7 :UInt8;
}

struct SetServerState {
  group @0 :Text;
  server @1 :Text;
  leaving @2 :Bool;
  announced @3 :Bool;
  ended @4 :Bool;
}

struct EndTerm {
  group @0 :Text;
  newTerm @1 :UInt64;
}

struct AppointPrimary {
  group @0 :Text;
  term @1 :UInt64;
  server @2 :Text;
  keep @3 :List(Text);
  serverTerm @4 :UInt64;
}

struct OrderPromotion {
  group @0 :Text;
  term @1 :UInt64;
  server @2 :Text;
}

struct SetInSync {
  group @0 :Text;
  term @1 :UInt64;
  server @2 :Text;
  expected @3 :UInt64;
  sync @4 :UInt8;
}

struct ShareGrant {
  session @0 :UInt64;
  connections @1 :UInt32;
}

struct SetShares {
  group @0 :Text;
  server @1 :Text;
  grants @2 :List(ShareGrant);
}

struct ConfirmShares {
  group @0 :Text;
  session @1 :UInt64;
  revision @2 :UInt64;
}

struct ReserveKey {
  owner @0 :Text;
  key @1 :Text;
  attempt @2 :Text;
  session @3 :UInt64;
  group @4 :Text;
  term @5 :UInt64;
}

struct RecordOutcome {
  owner @0 :Text;
  key @1 :Text;
  attempt @2 :Text;
  code @3 :UInt16;
  answer @4 :Data;
}

struct ResolveAttempt {
  owner @0 :Text;
  key @1 :Text;
  attempt @2 :Text;
  resolver @3 :UInt64;
  term @4 :UInt64;
  committed @5 :Bool;
}

struct Voter {
  host @0 :Text;
  domain @1 :Text;
  identity @2 :Text;
  address @3 :Text;
  rpcPort @4 :UInt16;
}

struct SetSessionHomes {
  expected @0 :UInt64;
  hosts @1 :List(Text);
  active @2 :Bool;
}

struct GroupPolicy {
  group @0 :Text;
  connectionLimit @1 :UInt32;
  replicasBeforeAck @2 :UInt32;
}

struct ReplaceCatalogue {
  version @0 :UInt64;
  document @1 :Text;
  entries @2 :List(Entry);
  groups @3 :List(GroupPolicy);
  workspaces @4 :List(Workspace);
}

struct Command {
  union {
    none @0 :Void;
    putEntry @1 :PutEntry;
    deleteEntry @2 :DeleteEntry;
    openSession @3 :OpenSession;
    endSession @4 :EndSession;
    registerServer @5 :RegisterServer;
    setServerState @6 :SetServerState;
    endTerm @7 :EndTerm;
    appointPrimary @8 :AppointPrimary;
    setInSync @9 :SetInSync;
    setShares @10 :SetShares;
    confirmShares @11 :ConfirmShares;
    reserveKey @12 :ReserveKey;
    recordOutcome @13 :RecordOutcome;
    resolveAttempt @14 :ResolveAttempt;
    advanceTimeMs @15 :Int64;
    setVoters @16 :List(Voter);
    setSessionHomes @17 :SetSessionHomes;
    replaceCatalogue @18 :ReplaceCatalogue;
    putWorkspace @19 :PutWorkspace;
    deleteWorkspace @20 :DeleteWorkspace;
    orderPromotion @21 :OrderPromotion;
  }
}

struct Item {
  revision @0 :UInt64;
  entry @1 :Entry;
}

struct Deletion {
  revision @0 :UInt64;
  name @1 :Text;
}

struct Change {
  revision @0 :UInt64;
  expected @1 :UInt64;
  change @2 :Text;
  operatorName @3 :Text;
  atMs @4 :Int64;
  deleted @5 :Bool;
  entry @6 :Entry;
}

struct WorkspaceItem {
  revision @0 :UInt64;
  workspace @1 :Workspace;
}

struct WorkspaceDeletion {
  revision @0 :UInt64;
  name @1 :Text;
}

struct WorkspaceChange {
  revision @0 :UInt64;
  expected @1 :UInt64;
  change @2 :Text;
  deleted @3 :Bool;
  workspace @4 :Workspace;
}

struct Workspaces {
  items @0 :List(WorkspaceItem);
  deletions @1 :List(WorkspaceDeletion);
  recent @2 :List(WorkspaceChange);
  forgottenDeletion @3 :UInt64;
}

struct Catalogue {
  revision @0 :UInt64;
  forgottenDeletion @1 :UInt64;
  items @2 :List(Item);
  deletions @3 :List(Deletion);
  history @4 :List(Change);
  recent @5 :List(Change);
  version @6 :UInt64;
  document @7 :Text;
  groups @8 :List(GroupPolicy);
  workspaces @9 :Workspaces;
}

struct Session {
  id @0 :UInt64;
  opened @1 :OpenSession;
}

struct Server {
  registered @0 :RegisterServer;
  sync @1 :UInt8;
  syncRevision @2 :UInt64;
  leaving @3 :Bool;
  announced @4 :Bool;
  ended @5 :Bool;
}

struct Group {
  id @0 :Text;
  revision @1 :UInt64;
  term @2 :UInt64;
  hasPrimary @3 :Bool;
  primary @4 :Text;
  hasPrevious @5 :Bool;
  previous @6 :Text;
  termRevision @7 :UInt64;
  lastSession @8 :UInt64;
  servers @9 :List(Server);
  replication @10 :UInt8;
  serverTerm @11 :UInt64;
  ordered @12 :List(Text);
}

struct Share {
  group @0 :Text;
  server @1 :Text;
  session @2 :UInt64;
  share @3 :UInt32;
  held @4 :UInt32;
  shareRevision @5 :UInt64;
}

struct LedgerRecord {
  reserved @0 :ReserveKey;
  phase @1 :UInt8;
  code @2 :UInt16;
  answer @3 :Data;
}

struct HomeAddress {
  host @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  rpcPort @3 :UInt16;
}

struct Homes {
  revision @0 :UInt64;
  active @1 :List(Text);
  preparing @2 :List(Text);
  addresses @3 :List(HomeAddress);
}

struct State {
  version @0 :UInt16;
  # Version of the format; currently 1.
  timeMs @1 :Int64;
  catalogue @2 :Catalogue;
  lastSession @3 :UInt64;
  sessions @4 :List(Session);
  groups @5 :List(Group);
  shares @6 :List(Share);
  ledger @7 :List(LedgerRecord);
  voters @8 :List(Voter);
  homes @9 :Homes;
}
