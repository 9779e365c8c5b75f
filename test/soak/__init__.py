"""Randomized soak: real gateway processes, faults from outside, promises checked."""
