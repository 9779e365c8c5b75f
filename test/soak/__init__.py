"""Soak test: runs gateway processes under random faults and checks their guarantees."""
