// Messages with which entry instances store copies of each other's bills.
// Regenerate with `make thrift`.

// A batch of bills, JSON-encoded as it will be written to the key-value service.
struct BillBatch {
  1: string incarnation
  2: i64 sequence
  3: binary bills
}

// Request of KEEP_BILLS.
struct KeepBills {
  1: list<BillBatch> batches = []
}

// Response to KEEP_BILLS; `kept` is false if the peer had no room for some batch.
struct KeepBillsReply {
  1: bool kept
}

// Request of DROP_BILLS, sent once the key-value service has these batches.
struct DropBills {
  1: string incarnation
  2: list<i64> sequences = []
}
