// Copies of bills that entry instances keep for each other. Regenerate with
// `make thrift`.

// A batch as the key-value service will hold it: the bills in JSON.
struct BillBatch {
  1: string incarnation
  2: i64 sequence
  3: binary bills
}

// Request of KEEP_BILLS.
struct KeepBills {
  1: list<BillBatch> batches = []
}

// Answer to KEEP_BILLS; a peer without room keeps nothing.
struct KeepBillsReply {
  1: bool kept
}

// Request of DROP_BILLS: the key-value service has these batches.
struct DropBills {
  1: string incarnation
  2: list<i64> sequences = []
}
