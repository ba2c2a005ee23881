"""Stand-in for a target: slots, work, faults and a log of every run."""
