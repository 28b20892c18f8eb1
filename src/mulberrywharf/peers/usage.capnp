@0xb6d0e2f1c39a7845;
# A datagram about customers' usage. usage_codec.py decodes it to NamedTuples.

struct UsageMessage {
  union {
    announcement @0 :Announcement;
    counts @1 :Counts;
  }
}

struct Announcement {
  number @0 :UInt64;          # fencing number of the collector
  reportedWindow @1 :UInt64;  # last window whose report is recorded; counts up
                              # to it are not needed
}

struct Counts {
  incarnation @0 :UInt32;     # identifies one run of the gateway
  window @1 :UInt64;
  isFinal @2 :Bool;           # whether the counts will not change any more
  customers @3 :List(Customer);
  totalCount @4 :UInt64;      # requests of all customers, including those in
                              # other messages on this window
}

struct Customer {
  name @0 :Text;
  count @1 :UInt32;
}
