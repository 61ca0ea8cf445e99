"""What is spoken to holders: pools, calls, and what each ending means."""
