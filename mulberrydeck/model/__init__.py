"""Configuration model: places, services, targets, accounts and rules."""
