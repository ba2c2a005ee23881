"""Command line of operators and callers."""
