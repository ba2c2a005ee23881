"""HTTP interface towards callers and relaying VMs."""
