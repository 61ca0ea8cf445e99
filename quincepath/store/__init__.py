"""Persistent state: one LMDB environment per broker, imported only by brokers that store consensus state."""
