"""HTTP APIs of an entry instance."""
