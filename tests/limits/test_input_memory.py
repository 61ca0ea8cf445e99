"""Which connections give up what their clients sent, when all together hold too much."""

from quincepath.limits.input_memory import InputMemory


class FakeConnection:
    """Holds ``sheddable`` bytes of input and ``open`` bytes for an open request."""

    def __init__(self, memory: "InputMemory[FakeConnection]", sheddable: int = 0, open: int = 0) -> None:
        self.memory, self.sheddable_bytes, self.open = memory, sheddable, open
        self.shed = 0
        memory.update(self, sheddable + open)

    def grow(self, size: int) -> None:
        self.sheddable_bytes += size
        self.memory.update(self, self.sheddable_bytes + self.open)
        self.memory.enforce(self)

    def shed_input(self) -> None:
        self.shed += 1
        self.sheddable_bytes = 0
        self.memory.update(self, self.open)


def test_the_one_that_holds_most_gives_way_to_one_under_its_share() -> None:
    memory: InputMemory[FakeConnection] = InputMemory(1000)
    large, middle, small = FakeConnection(memory, 700), FakeConnection(memory, 290), FakeConnection(memory)
    small.grow(20)
    assert (large.shed, middle.shed, small.shed) == (1, 0, 0) and memory.total == 310


def test_one_over_its_share_gives_way_itself_though_others_hold_more() -> None:
    memory: InputMemory[FakeConnection] = InputMemory(1000)
    others = [FakeConnection(memory, 450), FakeConnection(memory, 450)]
    newest = FakeConnection(memory)
    newest.grow(400)
    assert newest.shed == 1 and not any(other.shed for other in others) and memory.total == 900


def test_many_give_way_until_the_limit_holds() -> None:
    memory: InputMemory[FakeConnection] = InputMemory(100)
    others = [FakeConnection(memory, 30) for _ in range(10)]
    newest = FakeConnection(memory)
    newest.grow(5)
    assert memory.total <= 100 and not newest.shed and sum(other.shed for other in others) == 7


def test_open_requests_are_never_given_up() -> None:
    memory: InputMemory[FakeConnection] = InputMemory(100)
    opened = [FakeConnection(memory, 0, 90) for _ in range(3)]
    newest = FakeConnection(memory, 0, 10)
    newest.grow(5)
    assert memory.total == 280 and newest.shed == 1 and not any(one.shed for one in opened)


def test_nothing_is_given_up_without_a_limit_or_under_it() -> None:
    for limit in (0, 1000):
        memory: InputMemory[FakeConnection] = InputMemory(limit)
        one = FakeConnection(memory)
        one.grow(1000)
        assert not one.shed and memory.total == 1000
        memory.update(one, 0)
        assert memory.total == 0
