"""Idempotency claims for requests that may run at most once."""
