"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Documents and header fields are decoded once into the
types of `mulberrydeck.steering`; no other package knows the platform's names.
"""
