"""Reducer of an entry VM: its state, the events it handles, its effects."""
