"""Scenarios at the level of the decisions, on virtual time."""
