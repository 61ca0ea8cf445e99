"""Client protocols: each converts its requests to an ``Ask`` and final answers to its responses."""
