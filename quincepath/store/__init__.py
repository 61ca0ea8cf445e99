"""What survives: one LMDB environment a broker. Loaded only by a broker that keeps something."""
