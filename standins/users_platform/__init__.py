"""Stand-ins of the users' platform: its metadata store and its targets.

They implement the users' published protocol, with its names, and don't depend
on the product.
"""
