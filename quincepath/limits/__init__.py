"""Admission control and fair queueing: pure decisions, taken before the decision module sees a query."""
