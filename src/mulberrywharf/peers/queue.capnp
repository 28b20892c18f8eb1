@0xd3a6f21c88b04e97;
# Datagrams on an engine's queue, to and from the gateway that keeps it.
# queue_codec.py turns them into NamedTuples.

struct QueueMessage {
  union {
    ask @0 :Ask;
    waits @1 :Waits;
    work @2 :Work;
  }
}

struct Ask {
  number @0 :UInt32;         # repeated in the answer
  priority @1 :UInt8;        # of the prompt that is to be placed
  engines @2 :List(UInt32);  # hashes of engines and their starts
  parts @3 :List(UInt64);    # long shared parts of the prompt, in order
}

struct Waits {
  number @0 :UInt32;
  waits @1 :List(Wait);
}

struct Wait {
  engine @0 :UInt32;
  waitMs @1 :UInt16;   # until the engine reads the prompt
  knownMs @2 :UInt16;  # for how long all of the engine's work is counted
  heldCount @3 :UInt8; # of the prompt's parts, from the first one on
}

struct Work {
  engine @0 :UInt32;
  sender @1 :UInt32;    # names the start of the sending process
  number @2 :UInt32;    # the sender's for the prompt
  priority @3 :UInt8;
  matter @4 :Matter;
  workUs @5 :UInt32;    # what reading takes, of placed ones
  parts @6 :List(Part); # long shared parts, in order, of placed ones
  ownTokens @7 :UInt32; # its other tokens

  enum Matter {
    placed @0;
    read @1;
    withdrawn @2;
  }
}

struct Part {
  key @0 :UInt64;         # hash of the part and all before it
  tokens @1 :UInt32;
}
