"""Event loop on selectors, byte streams and HTTP/1.1; holds no query logic."""
