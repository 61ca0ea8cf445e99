"""Parts into one answer."""
