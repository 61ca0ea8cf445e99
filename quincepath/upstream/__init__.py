"""Client side towards holders: connection pools, calls and the outcome of each call."""
