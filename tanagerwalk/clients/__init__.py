"""Clients of the platform and of backend servers."""
