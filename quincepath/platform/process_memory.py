"""How the memory that the process may take is divided. Pure."""

MEGABYTE = 1024 * 1024
INPUT_SHARE = 1 / 8  # of the limit: requests of clients; the interpreter alone takes half of a small one
MIN_INPUT_BYTES = MEGABYTE


def input_limit(memory_mb: float) -> int:
    """Bytes that requests of all clients may hold, begun ones included."""
    return max(int(memory_mb * MEGABYTE * INPUT_SHARE), MIN_INPUT_BYTES)
