"""Tests of the routing subsystem."""
