@0xb97d3e50c1f62a84;
# Datagrams about servers with a request limit, to and from the gateways that
# grant requests to them. limit_codec.py maps them to NamedTuples.

struct LimitMessage {
  union {
    claim @0 :Claim;
    grant @1 :Grant;
  }
}

struct Claim {
  number @0 :UInt32;     # repeated in the reply
  server @1 :UInt32;     # hash of the server's id and start
  rank @2 :UInt8;        # of the receiver for this server
  settled @3 :Bool;      # whether the receiver has had this rank for long
  maxWaitMs @4 :UInt16;  # longest time that the request can wait
  statement @5 :Statement;
}

struct Grant {
  number @0 :UInt32;
  granted @1 :Bool;
  waitMs @2 :UInt32;     # until the request may be sent
  statement @3 :Statement;
}

struct Statement {
  hasLimit @0 :Bool;     # false if the server states no limit any more
  perS @1 :Float64;      # requests per second
  ageMs @2 :UInt32;      # time since the server's answer
}
