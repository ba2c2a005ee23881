"""A soak of the real programs under series of faults that overlap."""
