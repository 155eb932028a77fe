@0xd4f1a7b25c9e3860;
# Messages between balancers. Regenerate with crates/wire/schema/generate.

struct Datagram {
  from @0 :UInt64;
  union {
    membership @1 :Membership;
    flow @2 :Flow;
    target @3 :Target;
    forward @5 :Forward;
  }
  serial @4 :UInt64;
  # Serial number, counted by the sender per socket; protects against replays.
}

struct Forward {
  # A datagram of the sender for a balancer that it cannot reach directly.
  to @0 :UInt64;
  socket @1 :Socket;
  datagram @2 :Data;

  enum Socket {
    control @0;
    relay @1;
  }
}

# --- Membership ------------------------------------------------------------

struct Membership {
  sequence @0 :UInt32;
  # Sequence number of the probe, repeated by its acknowledgement.
  kind @1 :Kind;
  subject @2 :UInt64;
  # The balancer to probe indirectly, or whose acknowledgement is relayed.
  updates @3 :List(MemberUpdate);
  versions @4 :List(PlanVersion);
  # Latest plan of each service that the sender has prepared.
  table @5 :UInt64;
  wantsState @6 :Bool;
  # The sender requests the receiver's state.

  enum Kind {
    ping @0;
    pingRequest @1;
    ack @2;
    leave @3;
  }
}

struct PlanVersion {
  service @0 :UInt32;
  prepared @1 :UInt64;
}

struct MemberUpdate {
  node @0 :UInt64;
  incarnation @1 :UInt32;
  state @2 :State;
  domain @3 :UInt16;
  ip @4 :Data;
  controlPort @5 :UInt16;
  relayPort @6 :UInt16;
  bulkPort @7 :UInt16;
  ready @8 :Bool;
  # Whether it has the state required to own flows.

  enum State {
    alive @0;
    suspect @1;
    dead @2;
    left @3;
  }
}

# --- Flows -----------------------------------------------------------------

struct Flow {
  union {
    relay @0 :Relay;
    placed @1 :Placed;
    report @2 :FlowSet;
    settled @3 :FlowSet;
    offer @4 :FlowSet;
    missing @5 :Missing;
    gathered @6 :FlowSet;
  }
}

struct Relay {
  hops @0 :UInt8;
  stage @1 :Stage;
  service @2 :UInt32;
  target @3 :UInt32;
  packet @4 :Data;

  enum Stage {
    ask @0;
    # To the owner, which decides on the target.
    keep @1;
    # To the backup, which records the target and forwards the packet to it.
  }
}

struct Placed {
  service @0 :UInt32;
  flow @1 :UInt64;
  target @2 :UInt32;
}

struct FlowSet {
  service @0 :UInt32;
  plan @1 :UInt64;
  target @2 :UInt32;
  part @3 :UInt16;
  parts @4 :UInt16;
  union {
    hashes @5 :List(UInt64);
    filter @6 :Filter;
    buckets @9 :List(UInt16);
  }
  view @7 :UInt32;
  # Digest of the flow owners in the sender's view.
  round @8 :UInt16;
  # Number of the sender's set for this plan and view; a later round replaces an earlier one.
}

struct Missing {
  service @0 :UInt32;
  plan @1 :UInt64;
  view @2 :UInt32;
  kind @3 :Kind;
  parts @4 :List(UInt16);
  # Indices of the missing parts; empty means all parts.

  enum Kind {
    offer @0;
    report @1;
    settled @2;
    gathered @3;
  }
}

struct Filter {
  seed @0 :UInt64;
  segmentLength @1 :UInt32;
  segmentLengthMask @2 :UInt32;
  segmentCountLength @3 :UInt32;
  fingerprints @4 :Data;
}

# --- Targets ---------------------------------------------------------------

struct Target {
  observations @0 :List(Observation);
  shares @1 :List(Share);
}

struct Observation {
  target @0 :UInt32;
  round @1 :UInt32;
  healthy @2 :Bool;
  load @3 :UInt16;
  # In thousandths of the target's capacity, as reported by its endpoint.
}

struct Share {
  target @0 :UInt32;
  openFlows @1 :UInt32;
  newFlows @2 :UInt32;
}
