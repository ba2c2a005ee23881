"""Exchange of one request with a target or another VM."""
