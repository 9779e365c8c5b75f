// What gateway instances tell each other of the load that they put on backend
// servers. Regenerate with `make thrift`.

// One backend server; it is named by a hash of its id.
struct ServerLoad {
  1: i64 server
  2: i32 in_flight
  3: i32 tokens
  // For how long the oldest request without an answer has waited.
  4: optional i32 silence_ms
  // For how long the server has sent nothing at all; absent if it never has.
  5: optional i32 heard_ago_ms
}

// A request that was in flight when servers crashed.
struct CrashBlame {
  1: string fingerprint
  2: list<string> servers
}

// Sessions, by hash, that are on another side of a roll-out than their hash says.
struct SessionSides {
  1: string service_name
  2: list<i64> on_target
  3: list<i64> on_base
}

// Answers on one route that a sender has seen of both releases of a roll-out.
struct RouteTally {
  1: string route
  2: i32 target_answers
  3: i32 target_bad
  4: i32 base_answers
  5: i32 base_bad
}

// A sender's evidence on one roll-out, since the order.
struct TrialTally {
  1: string service_name
  2: i64 order
  3: list<RouteTally> routes
}

// The newest message of a sender replaces those before it.
struct LoadMessage {
  1: string sender
  2: i64 sequence
  3: list<ServerLoad> loads
  4: optional list<CrashBlame> blames
  5: optional list<SessionSides> sides
  6: optional list<TrialTally> tallies
}
