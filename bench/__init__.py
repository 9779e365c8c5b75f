"""Benchmarks; each module is run by itself and prints a small table."""
