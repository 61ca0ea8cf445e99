"""Consensus of a fleet: a Raft-like replicated log of few entries among the configured voters."""
