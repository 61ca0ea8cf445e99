"""Own loop on selectors, byte streams and HTTP/1.1: moves bytes and time, decides nothing."""
