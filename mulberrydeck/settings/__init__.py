"""Settings of one VM: declarations, loading and the generated reference."""
