"""What a fleet agrees on: a log of few entries among configured keepers, and what it says."""
