"""Settings of one VM: declarations, loading and reference page."""
