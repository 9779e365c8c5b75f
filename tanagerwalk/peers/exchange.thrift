// Messages between entry instances. Regenerate with `make thrift`.

// First frame that each side of a connection sends.
struct Hello {
  1: string instance
  2: binary nonce
}

// The declaration revision that an instance uses. The age is absent if the revision is
// unconfirmed; `refused` is the newest revision that the instance could not read.
struct DeclarationNews {
  1: i64 revision
  2: optional i32 confirmed_age_ms
  3: optional i64 refused
}

// Hashes of the stream buckets, four bytes per bucket. A lane that is absent is not
// compared in this exchange.
struct Digest {
  1: DeclarationNews news
  2: optional binary urgent
  3: optional binary slow
}

// The differing buckets and their streams, `sequences` in the order of `streams`.
struct DigestReply {
  1: DeclarationNews news
  2: list<i16> urgent_buckets = []
  3: list<i16> slow_buckets = []
  4: list<i64> streams = []
  5: list<i64> sequences = []
}

// One fact; `lifetime_ms` is the time until it expires.
struct FactItem {
  1: i16 topic
  2: string key
  3: binary value
  4: i64 sequence
  5: i32 lifetime_ms
}

// Facts of one stream by sequence number: all from those the receiver already had up
// to `upto`. The origin is set only for a stream that is new to the receiver.
struct Delta {
  1: i64 stream
  2: optional string origin
  3: i64 upto
  4: list<FactItem> facts = []
}

// Deltas that the receiver lacks, and the streams of which the sender requests the
// facts after `sequences`.
struct Transfer {
  1: list<Delta> deltas = []
  2: list<i64> streams = []
  3: list<i64> sequences = []
}

struct TransferReply {
  1: list<Delta> deltas = []
}

// The declaration with its text, compressed by zlib.
struct DeclarationCopy {
  1: DeclarationNews news
  2: binary text
}

// One request of an exchange. Exactly one field is set: the digest, the transfer, or
// the declaration for a peer whose revision is older.
struct ExchangeRequest {
  1: optional Digest digest
  2: optional Transfer transfer
  3: optional DeclarationCopy declaration
}
