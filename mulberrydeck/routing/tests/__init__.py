"""Tests of the routing part."""
