// Messages with which gateway instances pass on changes of the metadata store.
// Regenerate with `make thrift`.

// Asks for all changes since a revision of the store.
struct ChangesRequest {
  1: i64 revision
}

struct WrittenEntry {
  1: string key
  2: binary value
  3: i64 revision
}

struct DeletedEntry {
  1: string key
  2: i64 revision
}

struct ChangesResponse {
  // Revision of the store up to which the changes are complete.
  1: i64 revision
  // Time since the sender's copy was known to be current.
  2: i64 age_ms
  3: list<WrittenEntry> written
  4: list<DeletedEntry> deleted
  // Whether the sender no longer knows all changes since the revision.
  5: bool compacted
  // Time since the sender regained the store after an outage; absent if it never did.
  6: optional i64 reconnected_ago_ms
}

// Asks for the manifest in force, if it is newer than that of the sender.
struct ManifestRequest {
  // The operators' version of the sender's manifest.
  1: i64 version
}

struct ManifestResponse {
  // Absent if the asked instance has no newer manifest.
  1: optional WrittenEntry entry
  // Failure domains that the asked instance knows to be evacuated.
  2: optional list<string> evacuated
}
