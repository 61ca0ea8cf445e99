"""Test doubles for external systems, written from public specifications."""
