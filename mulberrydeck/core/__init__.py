"""The reducer over all events, its state, and effects as data."""
