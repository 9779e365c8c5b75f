"""Measurements of the decisions, with seeded traffic."""
