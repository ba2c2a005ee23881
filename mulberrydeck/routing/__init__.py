"""Routing of requests to targets: health, slots, ownership, spill order."""
