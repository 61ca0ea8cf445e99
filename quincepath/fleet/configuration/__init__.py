"""Versioned distribution of the configuration: changes of named resources, committed, in force everywhere.

Pure. ``changes`` holds the data types, ``resources`` what a value may be, ``history`` the state machine of
the consensus log, ``relay`` and ``subscriber`` the two ends of the distribution, ``status`` its sums
(docs/design/configuration.md).
"""
