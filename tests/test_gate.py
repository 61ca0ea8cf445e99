"""The gate: bounds hold, advice grows while it stays shut and is spread, same events same decisions."""

from quincepath.limits.gate import SECOND, AdmissionGate, Bounds, Rejection

BOUNDS = Bounds(open_work=100, max_retry_after=10 * SECOND)


def turned(gate: AdmissionGate, now: int) -> Rejection:
    found = gate.admit(now, 100, 1)
    assert found is not None and found.cause == "too much open"
    return found


def test_room_is_given_up_to_the_bound_and_not_past_it() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    assert gate.admit(0, 96, 4) is None
    assert gate.admit(0, 97, 4) is not None
    assert gate.admit(0, 0, 101) is not None


def test_advice_grows_while_the_door_stays_shut_and_starts_anew_after_a_break() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    early = [turned(gate, at * SECOND // 10).retry_in for at in range(5)]
    late = [turned(gate, SECOND // 2 + at * SECOND // 2).retry_in for at in range(10)]
    assert max(early) < 2 * SECOND < max(late)
    assert turned(gate, 60 * SECOND).retry_in < SECOND


def test_advice_is_spread_even_at_its_longest_and_never_zero() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    for at in range(200):
        turned(gate, at * SECOND // 2)
    advice = [turned(gate, 100 * SECOND).retry_in for _ in range(300)]
    assert max(advice) <= BOUNDS.max_retry_after
    for second in range(5, 10):  # no second of the later half gets more than its share by much
        assert 30 < sum(second * SECOND <= one < (second + 1) * SECOND for one in advice) < 100
    tight = AdmissionGate(Bounds(1, 1), 1)
    assert turned(tight, 0).retry_in >= 1


def test_stopping_is_told_apart_and_is_final() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    gate.stop()
    found = gate.admit(0, 0, 1)
    assert found is not None and found.cause == "stopping" and SECOND <= found.retry_in <= 3 * SECOND


def test_same_seed_same_decisions_and_other_brokers_draw_others() -> None:
    def run(seed: int) -> list[int]:
        gate = AdmissionGate(BOUNDS, seed)
        return [turned(gate, at * SECOND // 3).retry_in for at in range(20)]

    assert run(4) == run(4) != run(5)
