"""Prometheus remote read, SAMPLES: codec, matchers, plans."""
