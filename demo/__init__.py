"""A small fleet with stand-ins, to look at and to try."""
