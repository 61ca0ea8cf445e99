"""Max-min fair shares and Jain's index: the yardstick of what tenants got. Pure."""

from collections.abc import Mapping, Sequence


def fair_shares(wanted: Mapping[str, float], weights: Mapping[str, float], total: float) -> dict[str, float]:
    """``total`` shared out by weight (1 where not named), none more than it wanted."""
    found = dict.fromkeys(wanted, 0.0)
    hungry = {name for name, much in wanted.items() if much > 0}
    left = total
    while hungry and left > 1e-9:
        each = left / sum(weights.get(name, 1.0) for name in hungry)
        full = {name for name in hungry if wanted[name] - found[name] <= each * weights.get(name, 1.0)}
        for name in full or hungry:
            more = wanted[name] - found[name] if full else each * weights.get(name, 1.0)
            found[name] += more
            left -= more
        hungry -= full or hungry
    return found


def jain(values: Sequence[float]) -> float:
    """1 where all are equal, 1 / n where one has everything."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0
