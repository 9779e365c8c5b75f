"""Filters of the request chain, from metrics to dispatch."""
