"""Which shards a query touches, and which holders serve them."""
