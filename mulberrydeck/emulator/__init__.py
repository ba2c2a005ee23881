"""Emulation of a day of load on steering VMs, in virtual time.

Several VMs run the real reducer, each with its own state. Targets with slots,
queues and caches of objects are emulated, as are callers with waves of load
and retries. It serves to compare policies, in what-if experiments and in tests.
"""
