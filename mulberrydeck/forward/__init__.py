"""Forwards single requests to a target or another VM."""
