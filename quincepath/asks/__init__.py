"""Asks and tries: which client requests belong to one ask, and which of them get its answer."""
