"""Adapter for the platform's names, formats and calls; it makes no decisions."""
