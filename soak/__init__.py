"""A soak test of real steering VMs under overlapping series of faults."""
