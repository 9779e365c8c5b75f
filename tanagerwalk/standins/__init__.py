"""Small stand-ins of the outside systems, for the demo and the tests."""
