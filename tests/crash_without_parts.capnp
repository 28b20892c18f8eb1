@0xb7d24f0c9a31e685;
# crash.capnp as it was before reports named parts of prompts.

struct CrashReport {
  ends @0 :List(End);
  cleared @1 :List(UInt64);  # fingerprints of requests that have completed
  isReply @2 :Bool;          # replies to a report on a request that the sender
                             # already blocks
}

struct End {
  request @0 :UInt64;     # fingerprint
  server @1 :UInt32;      # hash of the server's ID and start
  ageMs @2 :UInt32;       # time since the server ended
  madeOutput @3 :Bool;    # whether any part of the answer had arrived
}
