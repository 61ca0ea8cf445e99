"""What brokers know of each other and agree among themselves. Off, and not imported, without ``fleet:``."""
