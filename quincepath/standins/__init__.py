"""Stand-ins for outside systems, written from public specifications."""
