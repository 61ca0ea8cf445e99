"""Remote read as other libraries speak it."""
