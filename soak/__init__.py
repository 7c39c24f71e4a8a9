"""A randomized fault soak of the real program; see docs/SOAK.md."""
