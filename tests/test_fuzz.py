"""Every decoder of bytes from outside: no crash, no exception but its own, no memory past its limit."""

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import settings as fuzz

from quincepath.fronts.remote_read.codec import CodecError, decode_request
from quincepath.fronts.remote_read.front import name_of
from quincepath.net.http1 import Request
from tests.fuzzing import MOST, TARGETS, mutated


@pytest.mark.parametrize("name", TARGETS)
def test_inputs_from_outside_are_taken_or_refused_in_words(name: str) -> None:
    target, seeds = TARGETS[name]
    for seed in seeds:
        target(seed)

    @given(mutated(seeds))
    @fuzz(max_examples=150, derandomize=True, deadline=2000)
    def run(data: bytes) -> None:
        target(data)

    run()


FOUND = [
    # Latin-1 superscripts are digits to str.isdigit and not to int: a holder's handler failed on them.
    ("header values", "q5/0/1/0, q2/\xb9/1/0"),
    ("header values", "q1/0\xb2/1/0"),
    # More digits than a float holds: an overflow, and the client was told of an internal error.
    ("header values", "9" * 400 + "s"),
    ("yaml", "roster_poll: " + "9" * 400 + "s\nlimits: {max_answer: " + "9" * 400 + "MB}"),
]


@pytest.mark.parametrize(("name", "text"), FOUND)
def test_what_was_found_stays_mended(name: str, text: str) -> None:
    TARGETS[name][0](text.encode("latin-1"))


def test_a_number_with_a_superscript_is_not_taken_for_a_broker_or_an_id() -> None:
    request = Request("POST", "/", {"x-request-id": "q\xb9"})
    assert name_of(request, 7) == "q7"


def test_a_few_bytes_that_state_gigabytes_take_no_memory() -> None:
    tracemalloc.start()
    for stated in (b"\xff\xff\xff\xff\x0f", b"\x80\x80\x80\x80\x04", b"\xff\xff\xff\x7f"):
        with pytest.raises(CodecError, match="are allowed"):
            decode_request(stated + b"\0" * 20, MOST)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < MOST
