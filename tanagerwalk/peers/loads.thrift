// Messages with which gateway instances report their load on backend servers to each
// other. Regenerate with `make thrift`.

// Load of the sender on one backend server; `server` is a hash of its id.
struct ServerLoad {
  1: i64 server
  2: i32 in_flight
  3: i32 tokens
  // Time that the oldest request without a response has waited.
  4: optional i32 silence_ms
  // Time since the server last sent anything; absent if it never has.
  5: optional i32 heard_ago_ms
  // Number of instances that got an error response of late; absent if none did.
  6: optional i32 errors
}

// A request, or a part that prompts share, that was in flight at these servers when they
// crashed.
struct CrashBlame {
  1: string fingerprint
  2: list<string> servers
  // Time until the record expires.
  3: optional i32 lifetime_ms
  // For a part only: those of the servers that had just begun to answer.
  4: optional list<string> begun
  // Time since a request with the part was last answered; absent if it never was.
  5: optional i32 answered_ago_ms
  // Number of parts before it in a prompt.
  6: optional i32 depth
}

// Limit that a backend server names; `server` is a hash of id and start time.
struct ServerLimit {
  1: i64 server
  // Requests per second of the fleet; absent if it names no limit any more.
  2: optional double rate
  // Time since the server said so.
  3: i32 heard_ago_ms
}

// Backend server that has started anew. `server` is a hash of the id and start time in
// the entry that the sender has, which may be that of the earlier start.
struct ColdServer {
  1: i64 server
  // Time for which it stays cold.
  2: i32 left_ms
}

// What a backend server bears; `server` is a hash of id and start time.
struct ServerBrittleness {
  1: i64 server
  // Rejections per second beyond which it falls over; absent if it is sound.
  2: optional double rejections
  // Time since the server said so.
  3: i32 heard_ago_ms
}

// What answers show of a backend server's speed; `server` is a hash of id and start time.
// Weighted sums in thousandths, in which recent answers weigh more.
struct ServerSpeed {
  1: i64 server
  // Weight of the answers whose duration was compared with the usual one, and sum of the
  // logarithms of the ratios.
  2: i32 durations
  3: i32 log_duration
  // Weight of the answers that reported a slowdown of the machine, and sum of the
  // logarithms.
  4: optional i32 reports
  5: optional i32 log_slowdown
}

// What instances tell each other of the permits to send requests to brittle servers.
enum PermitNoteKind {
  // A request needs a place; the coordinator answers with one of the next three.
  ASK = 0
  GRANTED = 1
  QUEUED = 2
  DENIED = 3
  // The sender's requests at servers, which prolongs their permits.
  RENEW = 4
  // A request has ended, or waits no longer.
  END = 5
  // A request needs a slot of the receiver's part of a server's limit; the answer is one
  // of the next two.
  ASK_SLOT = 6
  SLOT_GRANTED = 7
  SLOT_DENIED = 8
}

struct PermitNote {
  1: PermitNoteKind kind
  2: string service_name
  // Numbers that the holder gave its requests; one, but for RENEW.
  3: list<i64> requests
  // Hashes of id and start time. ASK and ASK_SLOT: the servers that the request may use,
  // the best first. GRANTED, RENEW and SLOT_GRANTED: the server of each request.
  4: optional list<i64> servers
  // ASK and ASK_SLOT: time for which the request waits. DENIED: time until a place may
  // come free. SLOT_GRANTED and SLOT_DENIED: time until the next slot begins.
  5: optional i32 wait_ms
  // ASK: whether the request has been at a server before.
  6: optional bool is_urgent
  // END: how the request ended.
  7: optional i32 ending
  // RENEW: whether it names all requests of the sender.
  8: optional bool is_complete
}

// Sessions, by hash, whose release the instances of an earlier version have to be told.
struct SessionSides {
  1: string service_name
  2: list<i64> on_target
  3: list<i64> on_base
}

// Responses on one route that the sender received from each release of a roll-out.
struct RouteTally {
  1: string route
  2: i32 target_answers
  3: i32 target_bad
  4: i32 base_answers
  5: i32 base_bad
}

// Histograms of the latencies on one route with one model, by number of the bucket.
struct LatencyTally {
  1: string route
  2: optional string model
  3: map<i16, i32> target
  4: map<i16, i32> base
}

// Responses of one server of the target release, given by its hash.
struct ServerTally {
  1: i64 server
  2: i32 answers
  3: i32 bad
}

// Response counts of the sender for one roll-out, since its order. The latencies of one
// roll-out may be spread over several messages.
struct TrialTally {
  1: string service_name
  2: i64 order
  3: list<RouteTally> routes
  4: optional list<LatencyTally> latencies
  // Requests that were assigned to each release.
  5: optional i64 target_starts
  6: optional i64 base_starts
  // Servers of the target release that gave most of the bad responses.
  7: optional list<ServerTally> servers
}

// What an instance tells an owner of a session during a roll-out, and its answer.
enum SessionNoteKind {
  // A request begins; the owner answers which release the session uses.
  ASK = 0
  ANSWER = 1
  // A request begins on a release.
  BEGIN = 2
  // A request has ended on a release.
  END = 3
}

// `session` is a hash; `request` a random number that identifies a request.
struct SessionNote {
  1: SessionNoteKind kind
  2: string service_name
  // Revision of the order that started the roll-out.
  3: i64 order
  4: i64 session
  5: i64 request
  // Time until the request's deadline or, after its end, until the session expires.
  6: optional i32 lifetime_ms
  // Absent in the answer of an owner that cannot tell.
  7: optional bool on_target
  // Whether the owner knows the session, rather than proposing a release for it.
  8: optional bool is_known
}

// What a backend server said about itself in an answer that came through a tunnel; sent
// to the instance that is connected to the server.
struct TunnelNotice {
  1: bool is_leaving
  2: i32 hold_ms
}

// Work that an account asked for; `account` is a hash of its id.
struct AccountDemand {
  1: i64 account
  2: i64 offered
}

// Demand for a contended service within the last seconds, in prompt tokens.
struct ServiceDemand {
  1: string service_name
  // What clients asked for.
  2: i64 offered
  // What was answered, and what waits at the servers, by priority.
  3: list<i64> done
  4: list<i64> waiting
  // The heaviest accounts.
  5: list<AccountDemand> accounts
}

// Whose data a message holds.
enum Scope {
  // The sender's own.
  INSTANCE = 0
  // The sum over the instances of a failure domain.
  DOMAIN = 1
  // The sum over all instances, the receiver included.
  FLEET = 2
}

// The newest message of a sender replaces its earlier ones of the same scope and part.
// One without loads only adds tallies; their counts only grow.
struct LoadMessage {
  1: string sender
  // Increases with each message of the sender.
  2: i64 sequence
  3: optional list<ServerLoad> loads
  4: optional list<CrashBlame> blames
  5: optional list<SessionSides> sides
  6: optional list<TrialTally> tallies
  7: Scope scope
  // Failure domain of the sender.
  8: string domain
  // A sum is split into parts by the server's hash, so that each fits a datagram.
  9: i32 part
  10: i32 parts
  // Backend servers that have said that they leave, by a hash of id and start time.
  11: optional list<i64> leaving
  12: optional list<ServerLimit> limits
  13: optional list<SessionNote> notes
  14: optional list<ServerBrittleness> brittle
  15: optional list<PermitNote> permits
  40: optional list<ServerSpeed> speeds
  60: optional list<ServiceDemand> demands
  61: optional list<ColdServer> cold
}
