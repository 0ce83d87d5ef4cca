@0xb7d0f4a96e1c5d23;
# What instances that send straight to the endpoints tell each other, one message a
# datagram. The committed Rust code is made from this file, see README.md.

struct Datagram {
  union {
    report @0 :Report;
    relay @1 :Relay;
    totals @2 :Totals;
    trialRequest @3 :TrialRequest;
    trialReply @4 :TrialReply;
    trialEnd @5 :TrialEnd;
    coldRequest @6 :ColdRequest;
    coldReply @7 :ColdReply;
    packed @8 :Data;
    # Another datagram, deflated. An instance of an earlier version drops it and asks the
    # store for what it lacks.
    limitedSendRequest @9 :LimitedSendRequest;
    limitedSendReply @10 :LimitedSendReply;
  }
}

struct LimitedSendRequest {
  # To the leader: may requests be sent to an endpoint that states a limit?
  session @0 :UInt64;
  number @1 :UInt64;
  # The process that asks, and which of its requests this is.
  endpoint @2 :UInt32;
  perS @3 :Float64;
  # Requests a second that the endpoint takes from all instances together.
  count @4 :UInt16;
  # Requests that the instance can send at once.
  maxWaitMs @5 :UInt32;
}

struct LimitedSendReply {
  session @0 :UInt64;
  number @1 :UInt64;
  union {
    granted :group {
      count @2 :UInt16;
      # Requests that may be sent.
      afterMs @3 :UInt32;
      # Delay before the first one.
    }
    busyMs @4 :UInt32;
    # None may be sent; the instance may ask again after this time.
    unavailable @5 :Void;
    # The receiver cannot decide.
  }
}

struct StatedLimit {
  # What an endpoint stated of the requests that it takes from all instances together.
  endpoint @0 :UInt32;
  ageMs @1 :UInt32;
  # Time since it stated so.
  union {
    perS @2 :Float64;
    # Requests a second.
    none @3 :Void;
    # It stated no limit any more.
  }
}

struct Departure {
  # An endpoint that stated that it leaves.
  endpoint @0 :UInt32;
  ageMs @1 :UInt32;
  # Time since it first stated so.
}

struct Rest {
  # An endpoint that asked for rest.
  endpoint @0 :UInt32;
  leftMs @1 :UInt32;
  # Time until the last rest ends.
  instances @2 :UInt16;
  # How many instances it asked.
}

struct ColdRequest {
  # To the leader: may a request be sent to an endpoint that is cold?
  session @0 :UInt64;
  number @1 :UInt64;
  # The process that asks, and which of its requests this is.
  endpoint @2 :UInt32;
  perS @3 :Float32;
  # Requests a second that all instances together may send there.
  patienceMs @4 :UInt32;
  # How long the request would wait for its turn.
}

struct ColdReply {
  session @0 :UInt64;
  number @1 :UInt64;
  union {
    afterMs @2 :UInt32;
    # It may be sent so much later.
    busyMs @3 :UInt32;
    # It is not to be sent; the next one may be after this time.
  }
}

struct TrialRequest {
  # To the leader: may a copy of work that is under suspicion be sent?
  session @0 :UInt64;
  number @1 :UInt64;
  # The process that asks, and which of its requests this is.
  work @2 :UInt64;
  expectedMs @3 :UInt32;
  # Time after which it is most likely done.
  limitMs @4 :UInt32;
  # Time after which its caller no longer waits.
}

struct TrialReply {
  session @0 :UInt64;
  number @1 :UInt64;
  work @2 :UInt64;
  union {
    granted @3 :Void;
    cleared @4 :Void;
    busyMs @5 :UInt32;
    # Another copy is being tried, and is most likely done after this time.
  }
}

struct TrialEnd {
  # To the leader: a copy that it granted is done.
  session @0 :UInt64;
  number @1 :UInt64;
  work @2 :UInt64;
  union {
    answered @3 :Void;
    # An endpoint ran it to its end.
    crashed @4 :UInt32;
    # This start of an endpoint crashed with it.
    open @5 :Void;
    # It did not run, or it is not known.
  }
}

struct Totals {
  # What the leader knows from the reports of all instances.
  term @0 :UInt64;
  number @1 :UInt64;
  # Grows with each that a leader sends.
  endpoints @2 :List(EndpointTotal);
  instance @3 :Text;
  session @4 :UInt64;
  # The leader, and the random number of its process start.
  stopping @5 :Bool;
  unfit @6 :Bool;
  strength @7 :UInt16;
  instances @8 :UInt32;
  # Instances that are heard.
  seenConfig @9 :UInt64;
  seenEndpoints @10 :UInt64;
  seenOwn @11 :UInt64;
  # Newest versions that any instance has seen.
  standbys @12 :List(Text);
  # Who claims the duty first when the leader falls silent.
  paces @13 :List(EndpointPace);
  members @14 :List(Address);
  # To a delegate: instances to which it passes this on.
  storeLost @15 :Bool;
  # The store does not answer the leader.
  row @16 :Row;
  # The stored row that names the leader; absent where it is not known.
  refused @17 :List(RefusedWork);
  # Work that was taken as harmful.
  suspects @18 :List(UInt64);
  # Work that was at an endpoint that crashed.
  limits @19 :List(StatedLimit);
  confirmed @20 :Confirmation;
  # Absent where the configuration was never confirmed.
  departures @21 :List(Departure);
  seenConfigEra @22 :UInt32;
  seenEndpointsEra @23 :UInt32;
  seenOwnEra @24 :UInt32;
  # Eras of the store to which the newest versions belong.
  demand @25 :List(QueueDemand);
  # Absent from a leader without admission control across instances.
  byteBounds @26 :List(ByteBound);
}

struct ByteBound {
  # Bound on the bytes of requests at each endpoint of a service.
  service @0 :Text;
  kilobytes @1 :UInt32;
}

struct Confirmation {
  # The store had no newer row of the configuration.
  version @0 :UInt64;
  # Version of the newest row.
  ageMs @1 :UInt32;
  # Time since then, in milliseconds.
  era @2 :UInt32;
  # Era of the version.
}

struct RefusedWork {
  work @0 :UInt64;
  times @1 :UInt32;
  # How often it was taken as harmful.
}

struct EndpointPace {
  tag @0 :UInt32;
  slowness @1 :UInt16;
  # In hundredths.
  failing @2 :UInt16;
  # In thousandths.
  spread @3 :UInt16;
  # Standard deviation of the time relative to it, in thousandths; 0 if not known.
}

struct Address {
  ip @0 :UInt32;
  port @1 :UInt16;
}

struct Member {
  instance @0 :Text;
  session @1 :UInt64;
  term @2 :UInt64;
  heardAgoMs @3 :UInt16;
  strength @4 :UInt16;
  stopping @5 :Bool;
  unfit @6 :Bool;
}

struct EndpointTotal {
  tag @0 :UInt32;
  inFlight @1 :UInt16;
  waiting @2 :UInt16;
  bytes @3 :UInt32;
  # Bodies of the requests in flight, in kilobytes.
}

struct Relay {
  # Rows of a table that the leader has just seen.
  table @0 :UInt8;
  after @1 :UInt64;
  position @2 :UInt64;
  rows @3 :List(Row);
  patches @4 :List(Patch);
  confirmed @5 :Confirmation;
  # In copies of the configuration; absent where it was never confirmed.
  afterEra @6 :UInt32;
  positionEra @7 :UInt32;
}

struct Patch {
  # What changed of a large row, for those that have it as it was before.
  key @0 :Text;
  before @1 :UInt64;
  version @2 :UInt64;
  change @3 :Data;
  beforeEra @4 :UInt32;
  versionEra @5 :UInt32;
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  union {
    value @2 :Data;
    removed @3 :Void;
  }
  era @4 :UInt32;
  # Era of the store to which the version belongs.
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
  members @12 :List(Member);
  # Other instances whose reports this one sums up.
  signs @13 :List(Sign);
  # What was seen of work that may crash endpoints.
  firstSign @14 :UInt64;
  # Number of the first of these signs.
  limits @15 :List(StatedLimit);
  confirmed @16 :Confirmation;
  # Absent where the configuration was never confirmed.
  cutOff @17 :Bool;
  # No endpoint answers it.
  departures @18 :List(Departure);
  rests @19 :List(Rest);
  seenConfigEra @20 :UInt32;
  seenEndpointsEra @21 :UInt32;
  seenOwnEra @22 :UInt32;
  # Eras of the store to which the newest versions belong.
  demand @23 :List(QueueDemand);
  # Absent from an instance without admission control across instances.
}

struct QueueDemand {
  # Demand of one or more instances for an endpoint or a service without keys.
  queue @0 :UInt32;
  waiting @1 :UInt64;
  # Requests that wait and can still be in time, by rank: four numbers of 16 bits, that of rank 0
  # in the lowest.
  arrivals @2 :UInt64;
  # Sixteenths of requests a second that arrive for the first time, by rank, in the same form.
  soonReturns @3 :UInt64;
  lateReturns @4 :UInt64;
  # Callers told to come back, by steps of 0.5 s: the first and last four, in the same form.
  waitingLate @5 :UInt64;
  # Requests that wait and will be late, by rank, in the same form.
}

struct Sign {
  work @0 :UInt64;
  endpoint @1 :UInt32;
  # Which one crashed with it; without a meaning where it was answered.
  answered @2 :Bool;
  # An endpoint ran it to its end.
}

struct EndpointUse {
  tag @0 :UInt32;
  inFlight @1 :UInt16;
  waiting @2 :UInt16;
  served @3 :Float32;
  relative @4 :Float32;
  failed @5 :Float32;
  bytes @6 :UInt32;
  # Bodies of the requests in flight, in kilobytes: the most since the last report.
}

struct KeySamples {
  service @0 :Text;
  keys @1 :List(UInt16);
}
