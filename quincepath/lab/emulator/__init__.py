"""Emulated holders, network, discovery and clients around the real broker drivers."""
