@0xb7c1f0e29a4d5b16;
# Bulk transfer between balancers over TCP. Regenerate with crates/wire/schema/generate.

interface Gate {
  # Unauthenticated entry point. Both sides prove possession of the shared key.

  challenge @0 () -> (nonce :Data);

  enter @1 (node :UInt64, nonce :Data, proof :Data) -> (node :UInt64, proof :Data, bulk :Bulk);
  # The client's `proof` is the tag of "client", the server's nonce, the client's
  # nonce and `node`, little-endian. The server's is the tag of "server", the same
  # nonces and its own node. A challenge is valid for one attempt.
}

interface Bulk {
  # The tag of each result covers the method name, both nonces and the content.

  table @0 (newerThan :UInt64) -> (version :UInt64, body :Data, tag :Data);
  # Version 0 and an empty body if there is nothing newer.

  plan @1 (service :UInt32, newerThan :UInt64) -> (version :UInt64, body :Data, tag :Data);

  state @2 (part :UInt32) -> (datagrams :List(Data), last :Bool, tag :Data);
  # Flow state for a joining balancer, as datagrams with flow messages. Part 0
  # takes a new snapshot; the parts have to be requested in order.
}
