"""The chain of steps that a request passes."""
