"""The exchange of state between entry instances."""
