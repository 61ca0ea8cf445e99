"""The broker for the operators' platform: client protocol, node frames, discovery, and a lean entry point."""
