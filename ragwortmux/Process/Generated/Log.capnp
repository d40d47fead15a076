@0xa3c9d41f60be7725;

# Messages between the members of the replicated log, one envelope each.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ragwortmux::rpc");

struct LogEntryId {
  index @0 :UInt64;
  term @1 :UInt64;
}

struct LogMember {
  id @0 :Text;
  address @1 :Text;
  votes @2 :Bool;
}

struct LogEntry {
  id @0 :LogEntryId;
  kind @1 :UInt8;
  payload @2 :Data;
  members @3 :List(LogMember);
}

struct LogSnapshot {
  last @0 :LogEntryId;
  members @1 :List(LogMember);
  state @2 :Data;
}

struct LogEnvelope {
  from @0 :Text;
  to @1 :Text;
  term @2 :UInt64;
  # Log term of the message; every message carries one.

  union {
    voteRequest :group {
      preVote @3 :Bool;
      transfer @4 :Bool;
      last @5 :LogEntryId;
    }
    voteReply :group {
      preVote @6 :Bool;
      granted @7 :Bool;
    }
    appendRequest :group {
      previous @8 :LogEntryId;
      entries @9 :List(LogEntry);
      commit @10 :UInt64;
      round @11 :UInt64;
    }
    snapshotRequest :group {
      snapshot @12 :LogSnapshot;
      round @13 :UInt64;
    }
    appendReply :group {
      accepted @14 :Bool;
      match @15 :UInt64;
      rejected @16 :UInt64;
      hint @17 :UInt64;
      round @18 :UInt64;
    }
    timeoutNow @19 :Void;
  }
}
