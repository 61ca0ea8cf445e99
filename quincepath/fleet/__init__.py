"""Shared state of a fleet of brokers: membership, load, agreement. Not imported without ``fleet:``."""
