@0xe41c07b95d2f8a63;
# A datagram about servers that ended. crash_codec.py decodes it to NamedTuples.

struct CrashReport {
  ends @0 :List(End);
  cleared @1 :List(UInt64);  # fingerprints of requests that have completed
  isReply @2 :Bool;          # replies to a report on a request that the sender
                             # already blocks
  clearedParts @3 :List(ClearedPart);
  trials @4 :List(UInt64);   # blocks and parts of which the sender tries a request
}

struct End {
  request @0 :UInt64;     # fingerprint
  server @1 :UInt32;      # hash of the server's ID and start
  ageMs @2 :UInt32;       # time since the server ended
  madeOutput @3 :Bool;    # whether any part of the answer had arrived
  customer @4 :UInt64;    # hash of the customer
  parts @5 :List(UInt64); # suspected parts of the prompt, see part_key
}

struct ClearedPart {
  part @0 :UInt64;
  customer @1 :UInt64;    # customer of the request that was answered
  ageMs @2 :UInt32;       # time since its answer began
}
