"""Measures what control costs, against the size of the system."""
