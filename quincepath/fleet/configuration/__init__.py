"""Versioned distribution of the configuration: named resources, changed by commits, applied by every broker.

Pure. ``changes`` holds the data types, ``resources`` validates values, ``history`` is the state machine
of the consensus log, ``relay`` and ``subscriber`` are the two ends of the distribution, and ``status``
aggregates what the relays report (docs/design/configuration.md).
"""
