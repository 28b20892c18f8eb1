@0xd3a6f21c88b04e97;
# Datagrams about an engine's queue, to and from the gateway that owns it.
# queue_codec.py maps them to NamedTuples.

struct QueueMessage {
  union {
    ask @0 :Ask;
    waits @1 :Waits;
    work @2 :Work;
  }
}

struct Ask {
  number @0 :UInt32;         # repeated in the reply
  priority @1 :UInt8;        # of the prompt to be placed; 0 is the most urgent
  engines @2 :List(UInt32);  # hashes of engine ids and starts
  parts @3 :List(UInt64);    # keys of the prompt's long shared parts, in order
}

struct Waits {
  number @0 :UInt32;
  waits @1 :List(Wait);
}

struct Wait {
  engine @0 :UInt32;
  waitMs @1 :UInt16;   # until the engine starts the prompt's prefill
  knownMs @2 :UInt16;  # time for which all of the engine's work was counted
  heldCount @3 :UInt8; # leading parts of the prompt that the engine holds
  slowdownPercent @4 :UInt16; # lasting, of the engine; 0 if unknown
}

struct Work {
  engine @0 :UInt32;
  sender @1 :UInt32;    # identifies the run of the sending process
  number @2 :UInt32;    # given to the prompt by the sender
  priority @3 :UInt8;
  matter @4 :Matter;
  workUs @5 :UInt32;    # duration of the prefill; only if placed
  parts @6 :List(Part); # long shared parts, in order; only if placed
  ownTokens @7 :UInt32; # prompt tokens outside these parts; only if placed
  slowdownPercent @8 :UInt16; # of the engine; 0 if unknown. Placed: as an owner
                              # told the sender. Read: as the sender measured

  enum Matter {
    placed @0;
    read @1;
    withdrawn @2;
  }
}

struct Part {
  key @0 :UInt64;         # hash of the part and all parts before it
  tokens @1 :UInt32;
}
