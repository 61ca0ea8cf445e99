"""Several brokers under faults: the same scripts over processes and in virtual time."""
