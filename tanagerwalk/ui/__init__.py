"""Command-line interface; each command has a module of its own."""
