# Messages between hosts. Regenerate the Rust code with `cargo xtask codegen`.
@0xd7b9c4a2e5f31806;

# What one host knows of another.
struct Member {
  hostId      @0 :UInt64;
  # IPv6 address of the peer port, IPv4 addresses mapped.
  addressHigh @1 :UInt64;
  addressLow  @2 :UInt64;
  port        @3 :UInt16;
  domainSeed  @4 :UInt64;
  rackSeed    @5 :UInt64;
  incarnation @6 :UInt64;
  state       @7 :UInt8;
}

# A membership probe or its answer.
struct Probe {
  kind     @0 :UInt8;
  sequence @1 :UInt64;
  # The host that an indirect probe is for.
  subject  @2 :UInt64;
  revision @3 :UInt64;
  members  @4 :List(Member);
}

# One pinned flow.
struct Pin {
  hashHigh    @0 :UInt64;
  hashLow     @1 :UInt64;
  targetHigh  @2 :UInt64;
  targetLow   @3 :UInt64;
  sequence    @4 :UInt32;
  ageS        @5 :UInt32;
  listenerKey @6 :UInt32;
  state       @7 :UInt8;
}

struct Pins {
  sequence @0 :UInt64;
  pins     @1 :List(Pin);
}

struct PinsAck {
  sequence @0 :UInt64;
}

# The sender has handed over every pin that the receiver needs.
struct TransferDone {
  incarnation @0 :UInt64;
}

# How many settled flows of one service a home holds, by target and listener.
struct Load {
  targetHigh  @0 :UInt64;
  targetLow   @1 :UInt64;
  listenerKey @2 :UInt32;
  flows       @3 :UInt32;
}

struct Report {
  serviceSeed @0 :UInt64;
  loads       @1 :List(Load);
}

# What a host holds of the catalog of listeners and targets.
struct Heartbeat {
  # The reader whose tree the heartbeat goes down, or 0.
  root     @0 :UInt64;
  revision @1 :UInt64;
  digest   @2 :UInt64;
  ageMs    @3 :UInt64;
  # The host whose reading of the store the age is counted from.
  reader   @4 :UInt64;
}

# Asks for rows of the catalog.
struct Pull {
  revision @0 :UInt64;
  digest   @1 :UInt64;
  # Every row in place of those that changed after the revision.
  all      @2 :Bool;
}

struct Share {
  serviceSeed @0 :UInt64;
  weight      @1 :UInt32;
}

# One row of the catalog.
struct Row {
  revision @0 :UInt64;
  presence @1 :UInt8;
  union {
    idleTimeoutMs @2 :UInt32;
    listener :group {
      ip        @3 :UInt32;
      port      @4 :UInt16;
      shares    @5 :List(Share);
      kind      @6 :UInt8;
      priority  @7 :UInt8;
      aimMs     @8 :UInt32;
      timeoutMs @9 :UInt32;
    }
    service :group {
      seed       @10 :UInt64;
      healthPath @11 :Text;
      flowsMax   @12 :UInt32;
    }
    target :group {
      id          @13 :UInt64;
      serviceSeed @14 :UInt64;
      ip          @15 :UInt32;
      port        @16 :UInt16;
      domainSeed  @17 :UInt64;
      slots       @18 :UInt16;
      isDraining  @19 :Bool;
      warmupMs    @20 :UInt32;
      startedAtMs @21 :UInt64;
    }
  }
}

struct RowBatch {
  heartbeat @0 :Heartbeat;
  after     @1 :UInt64;
  all       @2 :Bool;
  part      @3 :UInt32;
  parts     @4 :UInt32;
  rows      @5 :List(Row);
}

# The flows of one target that the sender sees.
struct TargetLoad {
  target @0 :UInt64;
  flows  @1 :UInt32;
  busy   @2 :UInt32;
  isDead @3 :Bool;
}

struct Control {
  union {
    probe        @0 :Probe;
    pins         @1 :Pins;
    pinsAck      @2 :PinsAck;
    transferDone @3 :TransferDone;
    report       @4 :Report;
    # A new settings revision; the receiver fetches it from the sender.
    revision     @5 :UInt64;
    heartbeat    @6 :Heartbeat;
    pull         @7 :Pull;
    rows         @8 :RowBatch;
    loads        @9 :List(TargetLoad);
  }
}

# What a host serves its peers over TCP.
interface Settings {
  # The newest root record, as JSON, with its authentication tag for the nonce.
  root @0 (nonce :UInt64) -> (record :Data, tag :UInt64);
  # The blob with this digest, as 64 hexadecimal digits; empty if it is not at hand.
  blob @1 (digest :Text) -> (content :Data);
}
