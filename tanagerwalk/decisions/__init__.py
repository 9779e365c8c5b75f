"""Decisions as plain code; time, random numbers and observations are arguments."""
