"""The HTTP interfaces of an entry instance."""
