"""Stand-ins, load generator and experiments."""
