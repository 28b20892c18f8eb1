@0xd4a1c6f2937be058;
# A caller's request on its way from the gateway that received it to another
# one that serves it. handover_codec.py maps it to NamedTuples.

struct HandedOver {
  method @0 :Text;
  target @1 :Text;
  host @2 :Text;
  fields @3 :List(Field);
  body @4 :Data;
  hasLastEventId @5 :Bool;
  lastEventId @6 :Text;
  customer @7 :Text;
  service @8 :Text;
  route @9 :Route;
  leftMs @10 :UInt32;      # until the answer must have arrived at the sender
  waitedMs @11 :UInt32;    # since the request arrived at the sender
  isCounted @12 :Bool;     # whether the sender counts it in its retry budget
  isAdmitted @13 :Bool;    # whether the sender admitted it and counts its demand
  hasVersionKey @14 :Bool;
  versionKey @15 :UInt64;  # software version at which the stream must go on
  hasArrived @16 :Bool;    # whether it may have arrived at a server
  isPrefilled @17 :Bool;   # whether a server may have prefilled its prompt
}

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Route {
  name @0 :Text;
  kind @1 :Kind;
  attemptsLeft @2 :UInt16;
  priority @3 :UInt8;
  hasTarget @4 :Bool;
  targetMs @5 :UInt32;
  hasGapTarget @6 :Bool;
  gapTargetMs @7 :UInt32;
}

enum Kind {
  atMostOnce @0;
  idempotent @1;
  stream @2;
  resumableStream @3;
}
