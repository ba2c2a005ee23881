"""Quota leases: VMs lend each other shares of fleet-wide rate limits."""
