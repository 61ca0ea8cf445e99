"""Stand-ins for external systems, written from their specifications."""
