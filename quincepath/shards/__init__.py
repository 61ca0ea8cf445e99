"""Which shards a query touches and which holders have them."""
