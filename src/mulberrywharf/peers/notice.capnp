@0xc6b1f7d0a94e2d53;
# One datagram between gateways. codec.py turns it into NamedTuples.

struct Notice {
  sender @0 :UInt32;    # names the start of the sending process
  sequence @1 :UInt32;  # rises with each notice of a sender
  placements @2 :List(Placement);
  routesRevision @3 :UInt64;   # of the last change that the sender has seen
  serversRevision @4 :UInt64;
  loads @5 :List(Load);
  demands @6 :List(Demand);
  changing @7 :List(UInt32);   # hashes of engines and starts that change their role
  isReading @8 :Bool;          # the revisions above are seconds old at the most
  zone @9 :UInt32;             # hash of the availability zone that roleLoads are of
  roleLoads @10 :List(RoleLoad);
  storeEra @11 :UInt32;        # that the revisions belong to
}

struct RoleLoad {
  service @0 :UInt32;      # hash of the service's name
  isPrefill @1 :Bool;      # of its prefill engines, else of the others
  milliShare @2 :UInt16;   # mean part of their slots that is taken, x 1000
  queueMs @3 :UInt16;      # mean wait for their steps
}

struct Demand {
  service @0 :UInt32;      # hash of the service's name
  milliEngines @1 :UInt32; # prefill engines that reading keeps busy, x 1000
}

struct Load {
  engine @0 :UInt32;       # hash of the engine's id and start
  requests @1 :UInt16;     # running and waiting
  ageMs @2 :UInt16;        # since the engine said so
}

struct Placement {
  engine @0 :UInt32;      # hash of the engine's id and start
  workUs @1 :UInt32;      # engine time, microseconds
  part @2 :UInt64;        # hash of the longest known chain, 0 for none
  partTokens @3 :UInt32;  # of the part at its end
  ownTokens @4 :UInt32;   # other tokens that fill the engine's memory
  before @5 :List(Part);  # long parts before that one, in order
}

struct Part {
  key @0 :UInt64;         # hash of the part and all before it
  tokens @1 :UInt32;
}
