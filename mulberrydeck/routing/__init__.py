"""Choice of targets: health, slots, ownership and spill order."""
