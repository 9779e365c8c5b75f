// Messages between entry instances. Regenerate with `make thrift`.

// First frame of either side of a connection.
struct Hello {
  1: string instance
  2: binary nonce
}

// What an instance knows of the declaration; the age is absent if unconfirmed, and
// `refused` is the newest revision that it could not read.
struct DeclarationNews {
  1: i64 revision
  2: optional i32 confirmed_age_ms
  3: optional i64 refused
}

// Hashes of the buckets of streams, four bytes a bucket; an absent lane is not
// compared this time.
struct Digest {
  1: DeclarationNews news
  2: optional binary urgent
  3: optional binary slow
}

// The streams of those buckets that differ.
struct DigestReply {
  1: DeclarationNews news
  2: list<i16> urgent_buckets = []
  3: list<i16> slow_buckets = []
  4: list<i64> streams = []
  5: list<i64> sequences = []
}

struct FactItem {
  1: i16 topic
  2: string key
  3: binary value
  4: i64 sequence
  5: i32 lifetime_ms
}

// Facts of one stream in the order of their sequences, complete from what the
// receiver knew up to `upto`. The origin is named for a stream new to it.
struct Delta {
  1: i64 stream
  2: optional string origin
  3: i64 upto
  4: list<FactItem> facts = []
}

// Deltas that the partner lacks, and the streams that the sender lacks.
struct Transfer {
  1: list<Delta> deltas = []
  2: list<i64> streams = []
  3: list<i64> sequences = []
}

struct TransferReply {
  1: list<Delta> deltas = []
}

// The declaration, its text compressed by zlib.
struct DeclarationCopy {
  1: DeclarationNews news
  2: binary text
}

// One request of an exchange: the digest, the transfer if one is due, or the
// declaration for a partner whose revision is older.
struct ExchangeRequest {
  1: optional Digest digest
  2: optional Transfer transfer
  3: optional DeclarationCopy declaration
}
