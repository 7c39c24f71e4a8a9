@0xd2b4a1c9e7f35a61;

# Messages between the VMs of a fleet. Ages are in milliseconds.

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  call @2 :UInt64;
  union {
    pull @3 :Pull;
    pulled @4 :Pulled;
    lend @5 :Lend;
    lent @6 :Lent;
    start @7 :Start;
    started @8 :Started;
    finish @9 :Finish;
    report @10 :Report;
    verdicts @11 :Verdicts;
    ok @12 :Void;
    release @13 :Release;
    admit @14 :Admit;
    admitted @15 :Admitted;
    place @16 :Place;
    placed @17 :Placed;
    finished @18 :Finished;
    notice @19 :Notice;
    beat @20 :Void;
    changed @21 :Pulled;
    levels @22 :Levels;
    limits @23 :Limits;
  }
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  # If set, `value` is compressed: as a patch to the value of revision `base`,
  # or as a whole if `base` is 0.
  base @3 :UInt64;
  isPacked @4 :Bool;
  # Eras of `revision` and `base`.
  era @5 :UInt32;
  baseEra @6 :UInt32;
}

# Requests the entries after `revision` and evidence of freshness.
struct Pull {
  revision @0 :UInt64;
  wantsAges @1 :Bool;
  # The sender lacks the base of a patch and needs whole values.
  wantsWhole @2 :Bool;
  era @3 :UInt32;
}

# Answer to `pull`. VMs that read the store also send it without a request,
# periodically and after changes.
struct Pulled {
  since @0 :UInt64;
  upto @1 :UInt64;
  entries @2 :List(Entry);
  # Revision of the replica to which the evidence below applies.
  revision @3 :UInt64;
  storeAgeMs @4 :UInt32;
  attests @5 :Bool;
  members @6 :UInt64;
  ages @7 :Data;
  # Time for which the store has answered without interruption.
  storeSettledMs @8 :UInt32;
  # The last attempt of the sender to read the store failed.
  isStoreLost @9 :Bool;
  # VMs to which the receiver forwards this message.
  relays @10 :List(Text);
  # The message was forwarded, so that it says nothing about its sender.
  isRelayed @11 :Bool;
  # Eras of `since`, `upto` and `revision`.
  sinceEra @12 :UInt32;
  uptoEra @13 :UInt32;
  era @14 :UInt32;
}

struct Need {
  account @0 :Text;
  need @1 :UInt16;
  spare @2 :UInt16;
  settled @3 :List(UInt64);
}

struct Lend {
  needs @0 :List(Need);
}

struct Loan {
  account @0 :Text;
  loanId @1 :UInt64;
  amount @2 :UInt16;
  waitMs @3 :UInt32;
  isOwner @4 :Bool;
}

struct Lent {
  loans @0 :List(Loan);
}

struct Start {
  key @0 :Text;
  attempt @1 :UInt64;
}

struct Started {
  outcome @0 :Text;
  status @1 :UInt16;
}

# Status 0 means that the attempt certainly did not execute the request.
struct Finish {
  key @0 :Text;
  attempt @1 :UInt64;
  status @2 :UInt16;
}

struct Outcome {
  upstream @0 :Text;
  route @1 :Text;
  failed @2 :Bool;
  bucket @3 :UInt8;
  count @4 :UInt16;
}

struct InFlight {
  upstream @0 :Text;
  count @1 :UInt16;
}

struct Crash {
  fingerprint @0 :Data;
  upstream @1 :Text;
}

struct Report {
  service @0 :Text;
  outcomes @1 :List(Outcome);
  inFlight @2 :List(InFlight);
  crashes @3 :List(Crash);
  leaving @4 :List(Text);
}

struct Weight {
  upstream @0 :Text;
  permille @1 :UInt16;
  reason @2 :Text;
}

struct Verdicts {
  service @0 :Text;
  weights @1 :List(Weight);
  # Attempts in flight from all other VMs.
  inFlight @2 :List(InFlight);
  stopped @3 :List(Data);
  leaving @4 :List(Text);
  reporters @5 :UInt16;
  slow @6 :List(Slow);
}

# The latency at or above which an answer on a route counts as slow.
struct Slow {
  route @0 :Text;
  ms @1 :UInt32;
}

struct AccountState {
  account @0 :Text;
  level @1 :Float64;
  lent @2 :Float64;
}

struct KeyState {
  key @0 :Text;
  attempt @1 :UInt64;
  startedS @2 :Float64;
  status @3 :UInt16;
}

# A part of the state of the previous owner, which has stopped acting. The part
# with `isLast` is sent after all other parts were acknowledged.
struct Release {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  isLast @2 :Bool;
  accounts @3 :List(AccountState);
  keys @4 :List(KeyState);
  # The previous owner does not know keys created before this time either.
  knownFromS @5 :Float64;
}

# Asks the coordinator of a team to admit one request under its rate limit.
struct Admit {
  team @0 :Text;
  maxWaitMs @1 :UInt32;
}

struct Admitted {
  isKnown @0 :Bool;
  waitMs @1 :UInt32;
  isAdmitted @2 :Bool;
}

# Asks the coordinator of a service to select an upstream.
struct Place {
  service @0 :Text;
  ticket @1 :UInt64;
  zone @2 :Text;
  mayRepeat @3 :Bool;
  leftMs @4 :UInt32;
  targetLeftMs @5 :UInt32;
  octets @6 :UInt32;
  isRepeat @7 :Bool;
  excluded @8 :List(Text);
  fingerprint @9 :Data;
  connected @10 :List(Text);
  isLast @11 :Bool;
  # 0 is the most urgent.
  priority @12 :UInt8 = 1;
  # Expected processing time of the route, 0 if it is unknown.
  workMs @13 :UInt32;
}

# `refusal` is empty if an upstream was selected.
struct Placed {
  refusal @0 :Text;
  upstream @1 :Text;
  retryAfterMs @2 :UInt32;
  inSpellPermille @3 :UInt16;
  inFlight @4 :UInt16;
  evidenceAgeMs @5 :UInt32;
  # The sender knows of a limit that the upstream names.
  isRateLimited @6 :Bool;
  # Least urgent priority that the sender admits, 255 if it admits all.
  leastUrgent @7 :UInt8 = 255;
}

# The outcome of one attempt.
struct Finished {
  service @0 :Text;
  ticket @1 :UInt64;
  upstream @2 :Text;
  outcome @3 :Text;
  latencyMs @4 :UInt32;
  fingerprint @5 :Data;
  # What the answer says of a limit of the upstream, which started at
  # `startedMs`: `rate` holds only if the answer names one.
  limit @6 :LimitKind;
  rate @7 :Float64;
  startedMs @8 :UInt64;
  # The process of the upstream that started at `leavingStartMs` leaves.
  isLeaving @9 :Bool;
  leavingStartMs @10 :UInt64;
}

enum LimitKind {
  notStated @0;
  unlimited @1;
  limited @2;
}

# The state that a VM announces to all others.
struct Notice {
  isServing @0 :Bool;
}

# Unused rate of teams, sent by the coordinators that admit their requests, and
# the share of the fleet that the sender reaches.
struct Levels {
  levels @0 :List(Level);
  reachedPermille @1 :UInt16;
}

struct Level {
  team @0 :Text;
  centi @1 :Int32;
}

# What the sender knows of the limits that upstreams of a service name.
struct Limits {
  service @0 :Text;
  limits @1 :List(RateLimit);
}

struct RateLimit {
  upstream @0 :Text;
  # Start of the process that named it.
  startedMs @1 :UInt64;
  # False after the limit has ended.
  isLimited @2 :Bool;
  # Requests per second.
  rate @3 :Float64;
  # Time since the sender, or whoever told it, heard it.
  ageMs @4 :UInt32;
  # Requests that the sender has placed on the upstream since it knows.
  granted @5 :UInt32;
}
