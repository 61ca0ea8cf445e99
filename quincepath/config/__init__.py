"""YAML configuration with checks that name the place."""
