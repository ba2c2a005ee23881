"""Demonstration, benchmarks and packaging commands."""
