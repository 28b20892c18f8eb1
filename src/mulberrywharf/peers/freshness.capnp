@0xd2a94c6e0b71f583;
# A datagram about how recently the routes were confirmed as the newest.
# freshness_codec.py decodes it to NamedTuples.

struct FreshnessMessage {
  nonce @0 :UInt64;    # identifies the question; repeated in its reply
  union {
    question @1 :Void;
    reply @2 :Reply;
  }
}

struct Reply {
  version @0 :UInt64;  # of the routes in force
  ageMs @1 :UInt32;    # time since they were confirmed as the newest
}
