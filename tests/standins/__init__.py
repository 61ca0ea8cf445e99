"""Outside systems of the tests, written from their pages."""
