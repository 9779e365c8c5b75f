"""Stand-ins for the external systems, used by the demo and the tests."""
