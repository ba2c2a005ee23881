"""Stand-in for the platform's object API, with injectable faults."""
