"""Background loops that keep the state of an instance up to date."""
