"""Forwards callers' requests to the targets registered with the platform.

The entry VMs choose targets consistently without exchanging messages, since all
of them rank the targets of a service by the same hash. Limits that apply to all
VMs together are lent between them (`mulberrydeck.quota`) or divided among them
(`pacing`).
"""
