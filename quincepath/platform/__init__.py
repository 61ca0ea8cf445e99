"""The operators' platform: its client protocol, its frames to nodes, its discovery, and the lean program."""
