@0xe1f4a7c2936b8d05;
# A message about customers' demand for the engines of one service.
# customer_demand_codec.py decodes it to NamedTuples.

struct DemandMessage {
  service @0 :UInt32;         # hash of the name
  number @1 :UInt16;          # identifies the report; repeated in its reply
  union {
    report @2 :Report;
    reply @3 :Reply;
  }
}

# All rates are engine-seconds per second.
struct Report {
  customers @0 :List(UInt32); # keys of the busiest customers
  demands @1 :List(Float32);  # one for each
  restDemand @2 :Float32;
  restCount @3 :UInt16;
  admitted @4 :Float32;
  unserved @5 :Float32;
}

struct Reply {
  level @0 :Float32;
  reported @1 :Data;          # for each customer of the report, its admitted
                              # share in 1/250; 255 below the level
  others @2 :List(UInt32);    # keys of other customers above the level
  otherShares @3 :Data;
  isRestBelow @4 :Bool;
}
