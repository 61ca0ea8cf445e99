"""Client protocols; each turns its requests into the same Ask and its final answers back."""
