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
}

struct Waits {
  number @0 :UInt32;
  waits @1 :List(Wait);
}

struct Wait {
  engine @0 :UInt32;
  waitMs @1 :UInt16;   # until the engine reads the prompt
  knownMs @2 :UInt16;  # for how long all of the engine's work is counted
}

struct Work {
  engine @0 :UInt32;
  sender @1 :UInt32;    # names the start of the sending process
  number @2 :UInt32;    # the sender's for the prompt
  priority @3 :UInt8;
  matter @4 :Matter;
  workUs @5 :UInt32;    # what reading takes, of placed ones

  enum Matter {
    placed @0;
    read @1;
    withdrawn @2;
  }
}
