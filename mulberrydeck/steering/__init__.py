"""Steers callers' requests straight to targets that the platform registers.

The entry VMs agree on a target without talking: all of them rank the targets
of a service by one hash. What has to be counted over all VMs is lent between
them (`mulberrydeck.quota`) or divided (`pacing`).
"""
