@0xd1c9a0f35be7712e;
# Messages between entry VMs. codec.py converts them from and to NamedTuples.

struct Envelope {
  senderVmId @0 :Text;
  correlation @1 :UInt64;  # 0: no reply is expected
  union {
    heartbeat @2 :Heartbeat;
    leaving @3 :Leaving;
    configFetch @4 :Void;
    configDocument @5 :Data;
    claimRequest @6 :ClaimRequest;
    claimComplete @7 :ClaimComplete;
    claimRelease @8 :ClaimRelease;
    claimWait @9 :ClaimWait;
    claimReply @10 :ClaimReply;
    shardHandover @11 :UInt32;
    ratesFetch @12 :RatesFetch;
    rates @13 :Rates;
    limitCall @14 :Data;  # see limit.capnp of the gateways
  }
}

struct Heartbeat {
  availabilityZone @0 :Text;
  incarnation @1 :UInt64;
  stamp @2 :UInt16;
  configVersion @3 :UInt64;
  listHash @4 :UInt64;  # hash of the VM lists that order the four columns
  stamps @5 :Data;      # two bytes for each entry VM of the zone
  suspicions @6 :Data;  # one bit for each entry VM of the zone
  loads @7 :Data;       # one byte for each engine of the zone
  loadAges @8 :Data;    # half a byte for each engine of the zone
  roundNumber @9 :UInt64;
  liveDigest @10 :UInt64;
  demands @11 :List(Demand);
}

struct Demand {
  customer @0 :Text;
  requestsPerS @1 :Float32;
  tokensPerS @2 :Float32;
}

struct RatesFetch {
  customers @0 :List(Text);
  models @1 :List(Text);
}

struct Rates {
  customers @0 :List(Float32);  # in the order of the request
  models @1 :List(Float32);
}

struct Leaving {
  incarnation @0 :UInt64;
}

struct ClaimRequest {
  claimId @0 :Data;
  bodyDigest @1 :Data;
  requestId @2 :Text;
  token @3 :UInt64;
  runnerIp @4 :Text;
  runnerPort @5 :UInt16;
  runBoundS @6 :Float64;
}

struct ClaimComplete {
  claimId @0 :Data;
  token @1 :UInt64;
  status @2 :UInt16;
  answerDigest @3 :Data;
  answer @4 :Data;
  hasAnswer @5 :Bool;
}

struct ClaimRelease {
  claimId @0 :Data;
  token @1 :UInt64;
}

struct ClaimWait {
  claimId @0 :Data;
  waitS @1 :Float64;
}

struct ClaimReply {
  kind @0 :Text;
  runnerVmId @1 :Text;
  runnerIp @2 :Text;
  runnerPort @3 :UInt16;
  status @4 :UInt16;
  answerDigest @5 :Data;
  answer @6 :Data;
  hasAnswer @7 :Bool;
  requestId @8 :Text;
}
