"""Messages between VMs: types, codec and transport."""
