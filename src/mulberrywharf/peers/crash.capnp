@0xe41c07b95d2f8a63;
# One datagram on servers that ended. crash_codec.py turns it into NamedTuples.

struct CrashReport {
  ends @0 :List(End);
  cleared @1 :List(UInt64);  # requests that ended whole, by fingerprint
  isReply @2 :Bool;          # to a report on a request that is known already
}

struct End {
  request @0 :UInt64;     # fingerprint
  server @1 :UInt32;      # hash of the server and its start
  ageMs @2 :UInt32;       # since the server ended
  madeOutput @3 :Bool;    # whether any of the answer had come
}
