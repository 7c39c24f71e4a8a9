"""Stand-ins and processes for the scripts of this review."""
