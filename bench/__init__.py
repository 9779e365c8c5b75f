"""Benchmarks. Each can be run as a module and prints its results as a table."""
