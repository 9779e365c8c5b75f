"""Protocol with which entry instances exchange state: encoding, framing, requests."""
