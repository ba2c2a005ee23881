"""Tests that run several processes."""
