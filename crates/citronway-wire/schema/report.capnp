@0xb7d0f4a96e1c5d23;
# What instances that send straight to the endpoints tell each other, one message a
# datagram. The committed Rust code is made from this file, see README.md.

struct Datagram {
  union {
    report @0 :Report;
    relay @1 :Relay;
    totals @2 :Totals;
  }
}

struct Totals {
  # Requests of all instances, as the leader knows them from their reports.
  term @0 :UInt64;
  number @1 :UInt64;
  # Grows with each that a leader sends.
  endpoints @2 :List(EndpointTotal);
}

struct EndpointTotal {
  tag @0 :UInt32;
  inFlight @1 :UInt16;
  waiting @2 :UInt16;
}

struct Relay {
  # Rows of a table that the leader has just seen.
  table @0 :UInt8;
  after @1 :UInt64;
  position @2 :UInt64;
  rows @3 :List(Row);
  patches @4 :List(Patch);
}

struct Patch {
  # What changed of a large row, for those that have it as it was before.
  key @0 :Text;
  before @1 :UInt64;
  version @2 :UInt64;
  change @3 :Data;
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  union {
    value @2 :Data;
    removed @3 :Void;
  }
}

struct Report {
  instance @0 :Text;
  session @1 :UInt64;
  # Random number of this process start.
  number @2 :UInt64;
  # Grows with each report of this start.
  stopping @3 :Bool;
  unfit @4 :Bool;
  # It cannot do a leader's work.
  term @5 :UInt64;
  # Highest term of a leader that it knows.
  seenConfig @6 :UInt64;
  seenEndpoints @7 :UInt64;
  seenOwn @8 :UInt64;
  # Newest version that it has seen of each table.
  endpoints @9 :List(EndpointUse);
  keys @10 :List(KeySamples);
  strength @11 :UInt16;
  # Part of a leader's work that its machine could do, in thousandths.
}

struct EndpointUse {
  tag @0 :UInt32;
  inFlight @1 :UInt16;
  waiting @2 :UInt16;
  served @3 :Float32;
  relative @4 :Float32;
  failed @5 :Float32;
}

struct KeySamples {
  service @0 :Text;
  keys @1 :List(UInt16);
}
