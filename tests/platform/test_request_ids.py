"""An id names the parts of one query at the nodes; used again, a part would run twice."""

import pytest

from quincepath.limits.gate import Bounds
from quincepath.platform.request_ids import MAX_REMEMBERED_IDS, RequestIds
from tests.standins.platform import SECOND, Client, PlatformHarness


def parts_of(harness: PlatformHarness, name: str) -> list[str]:
    return sorted(part for part, _ in harness.received() if part.startswith(f"{name}."))


@pytest.mark.parametrize("kind", ["all", "once"])
@pytest.mark.parametrize("wait", [0.01, 3.0], ids=["at once", "after its time"])
def test_an_id_does_not_run_twice_if_it_comes_again_after_its_client_left(kind: str, wait: float) -> None:
    """Its part may still run; the second request was taken, and the same part sent again."""
    harness = PlatformHarness()
    harness.set_behavior("silent")
    client = Client(harness)
    client.stream.write(harness.request(kind, (0,), Req_Id="same"))
    assert harness.run_until(lambda: parts_of(harness, "same") == ["same.0"])
    client.stream.close()
    harness.run(wait)
    harness.set_behavior("good")
    assert harness.ask(kind, (0,), Req_Id="same").status == 409
    assert parts_of(harness, "same") == ["same.0"] and not harness.errors


def test_an_id_does_not_run_twice_on_the_connection_on_which_it_was_answered() -> None:
    harness = PlatformHarness()
    client = Client(harness)
    client.stream.write(harness.request("once", (0,), Req_Id="same") * 2)
    assert harness.run_until(lambda: client.data.count(b"HTTP/1.1 ") == 2)
    assert client.data.startswith(b"HTTP/1.1 200 ") and client.status == 409
    assert parts_of(harness, "same") == ["same.0"]


def test_the_id_of_a_query_that_was_refused_before_any_part_was_sent_may_come_again() -> None:
    """A refusal says that asking again is harmless, and so it is."""
    harness = PlatformHarness()
    harness.broker.admission.bounds = Bounds(open_work=3, max_retry_after=SECOND)
    harness.set_behavior("silent")
    other = Client(harness)
    other.stream.write(harness.request("all", (0, 1)))
    assert harness.run_until(lambda: len(harness.received()) == 2)
    assert harness.ask("all", (0, 1), Req_Id="same").status == 503
    harness.run(0.1)  # the nodes' work; then they answer
    for node in harness.nodes:
        node.answer_silent()
    harness.run(0.1)
    harness.set_behavior("good")
    assert harness.ask("all", (0, 1), Req_Id="same").status == 200


def test_an_id_whose_deadline_had_passed_when_it_was_taken_may_come_again() -> None:
    harness = PlatformHarness()
    assert harness.ask("all", (0, 1), Req_Id="same", Req_Deadline_Ms="0").status == 503
    assert not harness.received()
    assert harness.ask("all", (0, 1), Req_Id="same").status == 200


def test_ids_are_remembered_up_to_a_number() -> None:
    ids = RequestIds()
    for handle in range(MAX_REMEMBERED_IDS + 1):
        ids.add(f"q{handle}", handle)
        ids.close(handle, may_have_run=True)
    assert "q0" not in ids and "q1" in ids and f"q{MAX_REMEMBERED_IDS}" in ids
    assert not ids.is_open("q1")


def test_an_open_id_is_in_use_until_its_query_is_over() -> None:
    ids = RequestIds()
    ids.add("a", 1)
    assert "a" in ids and ids.is_open("a")
    ids.close(1, may_have_run=False)
    ids.close(1, may_have_run=True)
    assert "a" not in ids and not ids.is_open("a")
