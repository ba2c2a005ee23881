"""HTTP servers for callers and relaying VMs."""
