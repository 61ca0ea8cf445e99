"""Merges the results of parts into one answer."""
