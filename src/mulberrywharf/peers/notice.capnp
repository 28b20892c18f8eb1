@0xc6b1f7d0a94e2d53;
# One datagram between gateways. notice_codec.py maps it to NamedTuples.

struct Notice {
  sender @0 :UInt32;    # identifies the run of the sending process
  sequence @1 :UInt32;  # increases with each notice of a sender
  placements @2 :List(Placement);
  routesRevision @3 :UInt64;   # of the latest change that the sender has seen
  serversRevision @4 :UInt64;
  loads @5 :List(Load);
  demands @6 :List(Demand);
  changing @7 :List(UInt32);   # hashes of the ids and starts of engines that
                               # change their role
  unused @8 :Bool;             # never set; earlier versions relied on gateways
                               # that did
  zone @9 :UInt32;             # hash of the availability zone of roleLoads
  roleLoads @10 :List(RoleLoad);
  storeEra @11 :UInt32;        # era of the key-value service that the revisions
                               # belong to
  paces @12 :UInt32;           # of the servers of the loads, in their order from
                               # the lowest bits, 5 bits each: 0 if not stated,
                               # else 10 + 30 * log10(pace). Fills a gap of the
                               # struct, so it takes no bytes while it is 0.
}

struct RoleLoad {
  service @0 :UInt32;      # hash of the service's name
  isPrefill @1 :Bool;      # true for prefill engines, false for all others
  milliShare @2 :UInt16;   # mean share of occupied slots, x 1000
  queueMs @3 :UInt16;      # mean time until the engines start a new prompt
}

struct Demand {
  service @0 :UInt32;      # hash of the service's name
  milliEngines @1 :UInt32; # prefill engines kept busy by the prompts, x 1000
}

struct Load {
  engine @0 :UInt32;       # hash of the engine's id and start
  requests @1 :UInt16;     # running and waiting
  ageMs @2 :UInt16;        # since the engine reported it
}

struct Placement {
  engine @0 :UInt32;      # hash of the engine's id and start
  workUs @1 :UInt32;      # engine time, microseconds
  part @2 :UInt64;        # key of the last long shared part, 0 for none
  partTokens @3 :UInt32;  # length of that part
  ownTokens @4 :UInt32;   # prompt tokens outside the long shared parts
  before @5 :List(Part);  # long shared parts before that one, in order
}

struct Part {
  key @0 :UInt64;         # hash of the part and all parts before it
  tokens @1 :UInt32;
}
