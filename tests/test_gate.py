"""The admission gate: its bound, the growth and jitter of the retry delay, deterministic decisions."""

from quincepath.limits.gate import SECOND, AdmissionGate, Bounds, Rejection

BOUNDS = Bounds(open_work=100, max_retry_after=10 * SECOND)


def rejected(gate: AdmissionGate, now: int) -> Rejection:
    found = gate.admit(now, 100, 1)
    assert found is not None and found.cause == "too much open"
    return found


def test_admits_up_to_the_bound_and_not_beyond() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    assert gate.admit(0, 96, 4) is None
    assert gate.admit(0, 97, 4) is not None
    assert gate.admit(0, 0, 101) is not None


def test_retry_delay_grows_while_rejecting_and_starts_again_after_a_pause() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    early = [rejected(gate, at * SECOND // 10).retry_in for at in range(5)]
    late = [rejected(gate, SECOND // 2 + at * SECOND // 2).retry_in for at in range(10)]
    assert max(early) < 2 * SECOND < max(late)
    assert rejected(gate, 60 * SECOND).retry_in < SECOND


def test_retry_delay_is_jittered_even_at_its_maximum_and_never_zero() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    for at in range(200):
        rejected(gate, at * SECOND // 2)
    delays = [rejected(gate, 100 * SECOND).retry_in for _ in range(300)]
    assert max(delays) <= BOUNDS.max_retry_after
    for second in range(5, 10):  # the delays are spread evenly over the upper half
        assert 30 < sum(second * SECOND <= one < (second + 1) * SECOND for one in delays) < 100
    tight = AdmissionGate(Bounds(1, 1), 1)
    assert rejected(tight, 0).retry_in >= 1


def test_stopping_has_its_own_cause_and_is_final() -> None:
    gate = AdmissionGate(BOUNDS, 1)
    gate.stop()
    found = gate.admit(0, 0, 1)
    assert found is not None and found.cause == "stopping" and SECOND <= found.retry_in <= 3 * SECOND


def test_decisions_depend_on_the_seed_alone() -> None:
    def run(seed: int) -> list[int]:
        gate = AdmissionGate(BOUNDS, seed)
        return [rejected(gate, at * SECOND // 3).retry_in for at in range(20)]

    assert run(4) == run(4) != run(5)
