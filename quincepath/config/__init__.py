"""YAML configuration with validation errors that name the file, line and key."""
