# Messages between hosts. After a change, regenerate the Rust code with `cargo xtask codegen`.
@0xd7b9c4a2e5f31806;

# An entry of the member list.
struct Member {
  hostId      @0 :UInt64;
  # The IPv6 address of the peer port. IPv4 addresses are IPv4-mapped.
  addressHigh @1 :UInt64;
  addressLow  @2 :UInt64;
  port        @3 :UInt16;
  domainSeed  @4 :UInt64;
  rackSeed    @5 :UInt64;
  incarnation @6 :UInt64;
  # The number of a `MemberState`.
  state       @7 :UInt8;
}

# A membership probe or its answer.
struct Probe {
  # The number of a `ProbeKind`.
  kind     @0 :UInt8;
  sequence @1 :UInt64;
  # The host that a probe or its answer is about.
  subject  @2 :UInt64;
  # The sender's revision of the settings; 0 with tagged affinity.
  revision @3 :UInt64;
  members  @4 :List(Member);
}

# The pin of one flow: the target that it is bound to, and the state of its connection.
struct Pin {
  hashHigh    @0 :UInt64;
  hashLow     @1 :UInt64;
  targetHigh  @2 :UInt64;
  targetLow   @3 :UInt64;
  # The initial TCP sequence number of the target.
  sequence    @4 :UInt32;
  ageS        @5 :UInt32;
  listenerKey @6 :UInt32;
  # The number of a `PinState`.
  state       @7 :UInt8;
}

# A batch of pins for the receiver to store.
struct Pins {
  sequence @0 :UInt64;
  pins     @1 :List(Pin);
}

# Acknowledges the batch of pins with this sequence number.
struct PinsAck {
  sequence @0 :UInt64;
}

# The sender has transferred every pin that the receiver needs.
struct TransferDone {
  incarnation @0 :UInt64;
}

# The number of flows of one listener at one target.
struct Load {
  targetHigh  @0 :UInt64;
  targetLow   @1 :UInt64;
  listenerKey @2 :UInt32;
  flows       @3 :UInt32;
}

# The flows of one service at the sending home that have reached a minimum age, by target and
# listener.
struct Report {
  serviceSeed @0 :UInt64;
  loads       @1 :List(Load);
}

# The version of the sender's catalog of listeners and targets, and its age.
struct Heartbeat {
  # The host at the root of the tree down which the heartbeat is sent; 0 if it is not forwarded.
  root     @0 :UInt64;
  revision @1 :UInt64;
  digest   @2 :UInt64;
  ageMs    @3 :UInt64;
  # The host whose read of the store last confirmed the catalog; ageMs counts from that read.
  reader   @4 :UInt64;
  # The era of the store that the revision belongs to.
  era      @5 :UInt64;
  # The version of the settings of which the sender knows every row.
  settingsVersion @6 :UInt64;
}

# Identifies a row of the catalog.
struct RowKey {
  # 0: no key, 1: limits, 2: service, 3: target, 4: listener, 5: evacuation.
  kind @0 :UInt8;
  # The hash of a service's or failure domain's name, a target's id, or a listener's address and port.
  id   @1 :UInt64;
}

# Requests rows of the catalog; those behind a key, if the transfer has already begun.
struct Pull {
  revision @0 :UInt64;
  digest   @1 :UInt64;
  # Requests all rows instead of those that changed after the revision.
  all      @2 :Bool;
  start    @3 :RowKey;
  # The maximum number of batches to send.
  batches  @4 :UInt8;
  # The era that the revision belongs to.
  era      @5 :UInt64;
}

# The share of a listener's flows that a service receives.
struct Share {
  serviceSeed @0 :UInt64;
  weight      @1 :UInt32;
}

# One row of the catalog.
struct Row {
  revision @0 :UInt64;
  # 0: listed, 1: lapsed, 2: gone.
  presence @1 :UInt8;
  union {
    idleTimeoutMs @2 :UInt32;
    listener :group {
      ip        @3 :UInt32;
      port      @4 :UInt16;
      shares    @5 :List(Share);
      # The kind of its requests; 0: idempotent, 1: unsafe, 2: download.
      kind      @6 :UInt8;
      priority  @7 :UInt8;
      # The response time to aim for.
      aimMs     @8 :UInt32;
      timeoutMs @9 :UInt32;
    }
    service :group {
      seed       @10 :UInt64;
      healthPath @11 :Text;
      flowsMax   @12 :UInt32;
      # Whether its cold targets have a limit on openings, and the limit in openings per 1,000 s.
      limitsWarmup        @28 :Bool;
      warmupOpeningsPerKs @29 :UInt32;
    }
    # The targets of the failure domain take no new flows.
    evacuation :group {
      domainSeed @30 :UInt64;
      domain     @31 :Text;
    }
    target :group {
      id          @13 :UInt64;
      serviceSeed @14 :UInt64;
      ip          @15 :UInt32;
      port        @16 :UInt16;
      domainSeed  @17 :UInt64;
      # The number of requests that it runs concurrently.
      slots       @18 :UInt16;
      isDraining  @19 :Bool;
      warmupMs    @20 :UInt32;
      # When it started, in milliseconds since 1970.
      startedAtMs @21 :UInt64;
    }
  }
  # The era that the revision belongs to.
  era      @22 :UInt64;
  # The version of the settings, or the number of the target's announcements since its start.
  edition  @23 :UInt64;
  # Whether a host read that the record is listed after another host took it for absent.
  isRelisted  @24 :Bool;
  # How often a reader found a later start of the target with an earlier start time.
  clockResets @25 :UInt16;
  # The revision at which the item was created.
  created     @26 :UInt64;
  createdEra  @27 :UInt64;
}

# The rows of a range of keys: those that changed after a revision, or all.
struct RowBatch {
  heartbeat  @0 :Heartbeat;
  # The batch has all changes after this revision. One with all rows may lack only rows that the
  # store stopped listing before.
  after      @1 :UInt64;
  all        @2 :Bool;
  # The key before the range, and its last key; no key at either end of all keys.
  start      @3 :RowKey;
  end        @4 :RowKey;
  # The receiver has to pull what follows.
  endsWindow @5 :Bool;
  rows       @6 :List(Row);
  # The era that `after` belongs to.
  afterEra   @7 :UInt64;
}

# The flows of one target as counted by the sender.
struct TargetLoad {
  target @0 :UInt64;
  flows  @1 :UInt32;
  # The flows with a request in flight; an overdue request counts several times.
  busy   @2 :UInt32;
  isDead @3 :Bool;
  # The sender's recent requests: how many were answered, their mean time to the answer, and how
  # many were answered much too fast or ended without an answer.
  answers  @4 :UInt32;
  meanUs   @5 :UInt32;
  failures @6 :UInt32;
}

# A control message, the body of a frame of kind `Control`.
struct Control {
  union {
    probe        @0 :Probe;
    pins         @1 :Pins;
    pinsAck      @2 :PinsAck;
    transferDone @3 :TransferDone;
    report       @4 :Report;
    # The settings revision in force at the sender, from which the receiver fetches a newer one.
    revision     @5 :UInt64;
    heartbeat    @6 :Heartbeat;
    pull         @7 :Pull;
    rows         @8 :RowBatch;
    loads        @9 :List(TargetLoad);
    # Requests a heartbeat.
    poll         @10 :Void;
  }
}

# The RPC interface of a host for its peers, over TCP.
interface Settings {
  # The current root record as JSON, and the authentication tag of the nonce and the record.
  root @0 (nonce :UInt64) -> (record :Data, tag :UInt64);
  # The blob with this digest, given as 64 hexadecimal digits; empty if the host lacks it.
  blob @1 (digest :Text) -> (content :Data);
}
