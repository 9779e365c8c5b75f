"""Decision logic without I/O; time, randomness and observations are arguments."""
