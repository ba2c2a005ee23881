"""Forwards a request to a target or another VM."""
