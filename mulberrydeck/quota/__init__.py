"""Quota leases: shares of a fleet-wide bound, lent between VMs."""
