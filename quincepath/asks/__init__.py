"""Asks and tries: which requests of clients are one ask, and who gets its one answer."""
