"""Adapter to the users' platform: its names, formats and calls.

This package makes no decisions. It decodes documents and header fields once
into the types of `mulberrydeck.steering`; no other package uses the platform's
names.
"""
