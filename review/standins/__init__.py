"""Stand-ins of what surrounds the entry nodes, for the cases of the review."""
