"""Plays a day of load against the decisions of steering VMs in virtual time.

Several VMs run the real reducer with views of their own; targets with slots,
queues and remembered objects, callers with waves and retries are emulated. It
answers «what if» and is what the tests of policies play on.
"""
