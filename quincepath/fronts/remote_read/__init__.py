"""Prometheus remote read with SAMPLES responses: codec, matchers, query planning."""
