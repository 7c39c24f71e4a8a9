"""Replays of load patterns against the decisions, in virtual time."""
