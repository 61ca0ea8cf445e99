"""The list of holders: its sources, and the updates of it for the decision module."""
