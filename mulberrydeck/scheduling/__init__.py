"""Slot scheduling: one VM per service and region grants its targets' slots.

The scheduler knows all requests in progress at the targets of its region, so
that it sends each request to a target that has a free slot and the request's
object in its cache, and holds a queue of its own where no slot is free. Its
state is kept in memory only and improves efficiency alone: the VM that sends a
request still checks cold targets, drains, evacuations, limits and deadlines.
"""
