"""Fault-injecting TCP proxy between the processes of a deployment."""
