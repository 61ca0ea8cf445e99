"""Configuration distribution as brokers run it: on an in-memory network, and with real processes."""
