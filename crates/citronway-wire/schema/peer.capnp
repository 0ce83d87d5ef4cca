@0xd3a4c1f0b7e25a91;
# Protocol between entry instances.
#
# The greeting comes first and decides which session is at the other end; all
# later calls go through the link it hands out. The committed Rust code is made
# from this file, see README.md.

interface Peer {
  # What an instance offers to whoever connects to its peer address.

  challenge @0 () -> (nonce :Data);
  # Draws a nonce that holds for the next greeting on this connection.

  greet @1 (hello :Hello) -> (reply :GreetReply);
  # Proves knowledge of the shared key without sending it.
}

interface Link {
  # What a greeted session may call.

  forward @0 (endpoint :Text, dispatchEpoch :UInt64, request :Request) -> (outcome :Outcome);
  # Hands a request to the dispatcher of an endpoint.

  control @1 (messages :List(PeerMessage)) -> ();
  # Control messages in the order in which they were sent.
}

struct Session {
  instance @0 :Text;
  id @1 :UInt64;
}

struct Hello {
  version @0 :UInt32;
  # Protocol version of the sender.
  session @1 :Session;
  zone @2 :Text;
  nonce @3 :Data;
  # Nonce for the proof in the answer.
  proof @4 :Data;
}

struct GreetReply {
  union {
    accepted @0 :Welcome;
    refused @1 :Refusal;
  }
}

struct Welcome {
  session @0 :Session;
  zone @1 :Text;
  proof @2 :Data;
  link @3 :Link;
}

struct Refusal {
  reason @0 :RefusalReason;
  version @1 :UInt32;
  # Protocol version of the refusing instance.
}

enum RefusalReason {
  version @0;
  proof @1;
  notChallenged @2;
  sameInstance @3;
}

struct Request {
  id @0 :Data;
  service @1 :Text;
  key @2 :Text;
  tenant @3 :Text;
  class @4 :Text;
  repeat @5 :Repeat;
  deadline @6 :UInt64;
  method @7 :Text;
  path @8 :Text;
  contentType @9 :Text;
  # Null if not stated.
  body @10 :Data;
}

enum Repeat {
  idempotent @0;
  nonIdempotent @1;
}

struct Outcome {
  union {
    answered @0 :Answer;
    notRun @1 :NotRun;
    mayHaveRun @2 :MayHaveRun;
  }
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  # Null if not stated.
  body @2 :Data;
}

struct NotRun {
  reason @0 :NotRunReason;
  retryAfterMs @1 :UInt64;
}

enum NotRunReason {
  staleConfig @0;
  unknownService @1;
  noRoute @2;
  noOwner @3;
  moving @4;
  notDispatcher @5;
  noHold @6;
  dispatcherUnreachable @7;
  queueFull @8;
  deadlineTooClose @9;
  expired @10;
  draining @11;
  endpointUnreachable @12;
  endpointRefused @13;
  endpointShed @14;
  hotKeyLimited @15;
  shuttingDown @16;
  cancelled @17;
  overloaded @18;
  badId @19;
  crashesEndpoints @20;
  underTrial @21;
}

struct MayHaveRun {
  reason @0 :MayHaveRunReason;
  retryAfterMs @1 :UInt64;
}

enum MayHaveRunReason {
  connectionLost @0;
  timeout @1;
  badAnswer @2;
  dispatcherLost @3;
  beforeFloor @4;
  answerGone @5;
}

struct PeerMessage {
  union {
    heartbeat @0 :Heartbeat;
    rows @1 :List(Row);
    hold @2 :Hold;
    endpointLost @3 :EndpointLost;
    shardReleased @4 :ShardReleased;
    load @5 :EndpointLoad;
    probe @6 :EndpointProbe;
    probed @7 :EndpointProbed;
  }
}

struct Heartbeat {
  config @0 :UInt64;
  storeAgeMs @1 :UInt64;
  leaving @2 :Bool;
  firstSign @3 :UInt64;
  # Number of the first of these signs.
  signs @4 :List(Sign);
  # What was seen of work that may crash endpoints.
}

struct Sign {
  work @0 :UInt64;
  endpoint @1 :UInt32;
  # Which start crashed with it; without a meaning where it was answered.
  answered @2 :Bool;
  # An endpoint ran it to its end.
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  value @3 :Text;
}

struct Hold {
  endpoint @0 :Text;
  union {
    ask @1 :HoldAsk;
    promise @2 :HoldPromise;
    refuse @3 :HoldRefuse;
    renounce @4 :HoldRenounce;
    handover @5 :HoldHandover;
  }
}

struct HoldAsk {
  epoch @0 :UInt64;
  rowVersion @1 :UInt64;
  round @2 :UInt64;
  durationMs @3 :UInt64;
}

struct HoldPromise {
  epoch @0 :UInt64;
  round @1 :UInt64;
}

struct HoldRefuse {
  epoch @0 :UInt64;
  round @1 :UInt64;
  rowVersion @2 :UInt64;
}

struct HoldRenounce {
  rowVersion @0 :UInt64;
}

struct HoldHandover {
  epoch @0 :UInt64;
  rowVersion @1 :UInt64;
  requests @2 :List(KnownRequest);
  floor @3 :UInt64;
}

struct KnownRequest {
  id @0 :Data;
  outcome @1 :Outcome;
  # Null if there is none.
  fingerprint @2 :Data;
  # 16 bytes; null if it is not known.
}

struct EndpointLost {
  endpoint @0 :Text;
  dispatchEpoch @1 :UInt64;
  quiet @2 :Bool;
}

struct EndpointProbe {
  endpoint @0 :Text;
}

struct EndpointProbed {
  endpoint @0 :Text;
  reached @1 :Bool;
}

struct ShardReleased {
  service @0 :Text;
  shard @1 :UInt64;
  epoch @2 :UInt64;
  from @3 :Text;
  dispatcher @4 :Session;
  floor @5 :UInt64;
}

struct EndpointLoad {
  endpoint @0 :Text;
  requests @1 :UInt64;
  serviceMs @2 :UInt64;
  queued @3 :UInt64;
  hot @4 :List(HotKey);
  shards @5 :List(ShardLoad);
  draining @6 :Bool;
}

struct HotKey {
  service @0 :Text;
  hash @1 :UInt64;
  requests @2 :UInt64;
}

struct ShardLoad {
  service @0 :Text;
  shard @1 :UInt64;
  requests @2 :UInt64;
}
