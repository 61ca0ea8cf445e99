"""Decoders of external input: no crash, no foreign exception, no memory beyond the limit."""

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import settings as fuzz

from quincepath.fronts.remote_read.codec import CodecError, decode_request
from quincepath.fronts.remote_read.front import query_name
from quincepath.net.http1 import Request
from tests.fuzzing import MAX_DECODED_BYTES, TARGETS, mutated_inputs


@pytest.mark.parametrize("name", TARGETS)
def test_external_input_is_accepted_or_rejected_with_a_message(name: str) -> None:
    target, seeds = TARGETS[name]
    for seed in seeds:
        target(seed)

    @given(mutated_inputs(seeds))
    @fuzz(max_examples=150, derandomize=True, deadline=2000)
    def run(data: bytes) -> None:
        target(data)

    run()


REGRESSIONS = [
    # Latin-1 superscripts pass str.isdigit but not int(): a holder's handler failed on them.
    ("header values", "q5/0/1/0, q2/\xb9/1/0"),
    ("header values", "q1/0\xb2/1/0"),
    # More digits than a float holds: overflowed, and the client got an internal error.
    ("header values", "9" * 400 + "s"),
    ("yaml", "roster_poll: " + "9" * 400 + "s\nlimits: {max_answer: " + "9" * 400 + "MB}"),
]


@pytest.mark.parametrize(("name", "text"), REGRESSIONS)
def test_inputs_that_failed_before(name: str, text: str) -> None:
    TARGETS[name][0](text.encode("latin-1"))


def test_a_superscript_digit_is_rejected_in_a_request_id() -> None:
    request = Request("POST", "/", {"x-request-id": "q\xb9"})
    assert query_name(request, 7) == "q7"


def test_a_short_input_that_declares_gigabytes_allocates_little() -> None:
    tracemalloc.start()
    for declared in (b"\xff\xff\xff\xff\x0f", b"\x80\x80\x80\x80\x04", b"\xff\xff\xff\x7f"):
        with pytest.raises(CodecError, match="are allowed"):
            decode_request(declared + b"\0" * 20, MAX_DECODED_BYTES)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < MAX_DECODED_BYTES
