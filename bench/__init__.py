"""Measurements of the decision code, run as `python -m bench.NAME`."""
