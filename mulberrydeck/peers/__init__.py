"""Peer messages: types, encoding, authentication and transport."""
