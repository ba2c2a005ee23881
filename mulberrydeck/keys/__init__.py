"""Caller keys: format, hashing and the keyring."""
