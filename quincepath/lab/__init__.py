"""Rehearsals on one machine: records, audit, load, scripted days."""
