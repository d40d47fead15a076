@0xd0f5a4b1c87e2391;

# RPC between the processes of one cluster.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ragwortmux::rpc");

interface Gate {
  # Served to a new connection until it has proved that it knows the cluster key.

  hello @0 () -> (nonce :Data, challenge :Challenge);
}

interface Challenge {
  answer @0 (host :Text, proof :Data) -> (peer :Peer);
  # proof is HMAC-SHA256(cluster key, nonce + host). Can be called once.
}

struct Point {
  # A position in a group's log.
  known @0 :Bool;
  term @1 :UInt64;
  position @2 :UInt64;
}

struct SessionTicket {
  # State of a session home when a look-up did not find the session.
  given @0 :Bool;
  incarnation @1 :UInt64;
  removals @2 :UInt64;
}

struct ServerView {
  server @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  sync @4 :UInt8;
  leaving @5 :Bool;
  announced @6 :Bool;
  connectionShare @7 :UInt32;
  slots @8 :UInt32;
}

struct GroupView {
  group @0 :Text;
  revision @1 :UInt64;
  term @2 :UInt64;
  hasPrimary @3 :Bool;
  primary @4 :Text;
  servers @5 :List(ServerView);
}

struct CatalogueEntry {
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

struct CatalogueItem {
  revision @0 :UInt64;
  entry @1 :CatalogueEntry;
}

struct Workspace {
  name @0 :Text;
  keys @1 :List(Data);
  # Digests.
  ratePerSecond @2 :UInt32;
  burst @3 :UInt32;
}

struct WorkspaceItem {
  revision @0 :UInt64;
  workspace @1 :Workspace;
}

struct CatalogueDelta {
  # Everything that changed after the revision from; if whole, names that are not listed are deleted.
  from @0 :UInt64;
  revision @1 :UInt64;
  whole @2 :Bool;
  items @3 :List(CatalogueItem);
  deletions @4 :List(Text);
  workspaces @5 :List(WorkspaceItem);
  workspaceDeletions @6 :List(Text);
}

struct EntryHost {
  host @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
}

struct SessionHomes {
  # The entry hosts that store the positions of callers' sessions; preparing is empty while they are not changing.
  revision @0 :UInt64;
  active @1 :List(EntryHost);
  preparing @2 :List(EntryHost);
}

struct Update {
  # An update from control to an entry process.
  views @0 :List(GroupView);
  hasCatalogue @1 :Bool;
  catalogue @2 :CatalogueDelta;
  hasHomes @3 :Bool;
  homes @4 :SessionHomes;
}

struct GroupAck {
  group @0 :Text;
  revision @1 :UInt64;
}

struct Confirmation {
  # The newest revisions that an entry process has taken into use.
  groups @0 :List(GroupAck);
  catalogue @1 :UInt64;
  homes @2 :UInt64;
}

struct Announcement {
  group @0 :Text;
  server @1 :Text;
  domain @2 :Text;
  address @3 :Text;
  port @4 :UInt16;
  primary @5 :Bool;
  term @6 :UInt64;
  position @7 :UInt64;
  slots @8 :UInt32;
  connections @9 :UInt32;
  leaving @10 :Bool;
  gone @11 :Bool;
  delegated @12 :Bool;
  incarnation @13 :UInt64;
  sequence @14 :UInt64;
}

struct Demand {
  # How many connections to a server a proxy could use.
  group @0 :Text;
  server @1 :Text;
  connections @2 :UInt32;
}

struct Suspicion {
  group @0 :Text;
  server @1 :Text;
  evidence @2 :UInt8;
  term @3 :UInt64;
}

struct Status {
  # A numbered result code with a reason; leader is set with not-leader where it is known.
  code @0 :UInt16;
  reason @1 :Text;
  leader @2 :Text;
}

struct LedgerRecord {
  # The ledger's record of a request key.
  owner @0 :Text;
  key @1 :Text;
  attempt @2 :Text;
  session @3 :UInt64;
  group @4 :Text;
  term @5 :UInt64;
  phase @6 :UInt8;
  code @7 :UInt16;
  answer @8 :Data;
}

struct CommandResult {
  # Result of applying a command.
  status @0 :Status;
  revision @1 :UInt64;
  session @2 :UInt64;
  hasWinner @3 :Bool;
  winner @4 :CatalogueItem;
  hasLedger @5 :Bool;
  ledger @6 :LedgerRecord;
}

interface EntryListener {
  # Served by an entry process to the control leader.
  update @0 (session :UInt64, update :Update) -> (confirmation :Confirmation);
}

struct SessionValue {
  name @0 :Text;
  value @1 :Text;
}

struct PreparedDefinition {
  # A prepared statement as its caller defined it.
  name @0 :Text;
  definition @1 :Text;
  writes @2 :Bool;
}

struct RelayedStatement {
  # A caller's statement with all that the serving host needs to run it. The ids are the sender's.
  request @0 :UInt64;
  caller @1 :UInt64;
  entry @2 :CatalogueEntry;
  id @3 :Text;
  kind @4 :UInt8;
  text @5 :Text;
  name @6 :Text;
  rest @7 :Text;
  writes @8 :Bool;
  values @9 :List(SessionValue);
  prepared @10 :List(PreparedDefinition);
  # The session's prepared statements.
  hasExecuted @11 :Bool;
  executed @12 :PreparedDefinition;
  # For a statement that runs a prepared statement: that one; its name is empty.
  lastWrite @13 :Point;
  ageUs @14 :Int64;
  # Time since the statement arrived.
  workspace @15 :Text;
  # Workspace of the caller; empty if the entry is open to all.
  isLastWriteUnplaced @16 :Bool;
  # A write after lastWrite has no known position.
}

struct RelayedAnswer {
  # The answer to a relayed statement. hasBody is false where there is no answer of a backend server.
  code @0 :UInt16;
  hasBody @1 :Bool;
  body @2 :Data;
  status @3 :UInt8;
  point @4 :Point;
  written @5 :Point;
  isWriteUnplaced @6 :Bool;
  # Writes became durable, at a position that is not known.
  primaryPoint @7 :Point;
  # The point, if it covers every write that was acknowledged before.
}

struct PermitDemand {
  workspace @0 :Text;
  needed @1 :UInt32;
  spare @2 :UInt32;
}

struct PermitGrant {
  permits @0 :UInt32;
  retryAfterUs @1 :UInt32;
  plenty @2 :Bool;
}

interface StatementRelay {
  # Runs statements for the callers of another entry process.

  run @0 (statement :RelayedStatement) -> (answer :RelayedAnswer);

  callerDisconnected @1 (caller :UInt64) -> ();

  ping @2 () -> ();
  # Answered at once.
}

interface Peer {
  # Served by every process to the others of its cluster.

  logMessage @0 (message :Data) -> ();
  # A message of the replicated log (see LogMessageCodec).

  identify @1 (from :Text, leaving :Bool) -> (voter :Text, blank :Bool, host :Text, members :List(Text), configuration :UInt64);
  # The identity of this process's data folder; blank while its log is empty. from is the address of a control process
  # that wants to become a member; empty: none.

  openSession @2 (host :EntryHost, incarnation :UInt64, listener :EntryListener) -> (status :Status, session :UInt64, leaseUs :Int64);

  renew @3 (session :UInt64, sequence :UInt64, confirmation :Confirmation, demand :List(Demand), servesAll :Bool = true,
            served :List(Text))
      -> (status :Status, leaseUs :Int64, update :Update);
  # served lists the groups that the entry process serves, unless servesAll is set.

  report @4 (session :UInt64, announcements :List(Announcement), suspicions :List(Suspicion)) -> (status :Status);

  command @5 (command :Data) -> (result :CommandResult);
  # Proposes a command of the replicated state machine (see CommandCodec).

  query @6 (what :Text, name :Text) -> (status :Status, json :Text);
  # Read of the leader's state for operators, as JSON.

  storeSessionPoint @7 (session :Text, group :Text, point :Point, homesRevision :UInt64, ticket :SessionTicket)
      -> (stored :Bool);
  # With a ticket, the point is stored only if the session has not been removed since the look-up that issued it.

  findSessionPoint @8 (session :Text, group :Text, homesRevision :UInt64) -> (point :Point, ticket :SessionTicket);

  openRelay @9 () -> (relay :StatementRelay);
  # Opens a relay to this entry process; it ends with the connection.

  takePermits @10 (session :UInt64, demands :List(PermitDemand))
      -> (status :Status, validityUs :Int64, grants :List(PermitGrant));
  # Takes permits for operations of limited workspaces. There is one grant for each demand, in order; validityUs is 0
  # and there are no grants if limits are not enforced.
}
