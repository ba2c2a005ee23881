"""Stand-ins of the users' platform: its metadata store and its targets.

They speak the users' published protocol, with the names of that protocol, and
know nothing of the product.
"""
