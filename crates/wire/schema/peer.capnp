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

struct Control {
  union {
    probe        @0 :Probe;
    pins         @1 :Pins;
    pinsAck      @2 :PinsAck;
    transferDone @3 :TransferDone;
    report       @4 :Report;
    # A new settings revision; the receiver fetches it from the sender.
    revision     @5 :UInt64;
  }
}

# What a host serves its peers over TCP.
interface Settings {
  # The newest root record, as JSON, with its authentication tag for the nonce.
  root @0 (nonce :UInt64) -> (record :Data, tag :UInt64);
  # The blob with this digest, as 64 hexadecimal digits; empty if it is not at hand.
  blob @1 (digest :Text) -> (content :Data);
}
