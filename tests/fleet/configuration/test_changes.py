"""Changes that exceed a bound or have no effect are refused with place, value and what was expected."""

import msgspec
import pytest

from quincepath.fleet.configuration.changes import (
    MAX_CHANGE_BYTES,
    MAX_EDITS,
    MAX_VALUE_BYTES,
    Change,
    ChangeError,
    Edit,
    decode_change,
    encode_change,
)


def change(*edits: Edit, id: str = "one", rolls_back: int = 0) -> Change:
    return Change(id, "ann", 1_000, edits, rolls_back)


def refused(wrong: Change) -> str:
    with pytest.raises(ChangeError) as caught:
        encode_change(wrong)
    assert caught.value.faults
    with pytest.raises(ChangeError):
        decode_change(msgspec.msgpack.encode(wrong))
    return str(caught.value)


def test_a_change_survives_encoding_and_decoding() -> None:
    original = change(Edit("node/n1", None, b"\x80"), Edit("tenant/a b", b"1", None))
    assert decode_change(encode_change(original)) == original


def test_a_change_that_edits_one_resource_twice_is_refused() -> None:
    wrong = change(Edit("node/n1", None, b"1"), Edit("node/n1", b"1", b"2"))
    assert refused(wrong) == "node/n1: 2 edits; expected one edit a resource"


def test_a_change_without_effect_is_refused() -> None:
    assert "at least one" in refused(change())
    assert "an edit that changes something" in refused(change(Edit("node/n1", b"1", b"1")))


def test_a_rollback_needs_no_edits() -> None:
    assert decode_change(encode_change(change(rolls_back=7))).rolls_back == 7


@pytest.mark.parametrize(
    ("wrong", "word"),
    [
        (Edit("n1", None, b"1"), "regex"),
        (Edit("node/", None, b"1"), "regex"),
        (Edit("node/a\nb", None, b"1"), "regex"),
        (Edit("node/" + "x" * 300, None, b"1"), "length"),
        (Edit("node/n1", None, b"x" * (MAX_VALUE_BYTES + 1)), "length"),
    ],
)
def test_a_name_or_value_beyond_its_bound_is_refused(wrong: Edit, word: str) -> None:
    message = refused(change(wrong))
    assert word in message
    assert message.startswith("edits[0].n")


def test_a_change_without_id_or_with_too_many_edits_is_refused() -> None:
    assert "length" in refused(change(Edit("node/n1", None, b"1"), id=""))
    many = tuple(Edit(f"node/n{number}", None, b"1") for number in range(MAX_EDITS + 1))
    assert "length" in refused(change(*many))


def test_a_change_larger_than_a_command_is_refused() -> None:
    many = tuple(Edit(f"node/n{number}", None, b"x" * 4000) for number in range(30))
    assert f"expected at most {MAX_CHANGE_BYTES}; divide it" in refused(change(*many))


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93", b"\x95\xa1\xff\x01\x02\x03\x04", b"\x00" * 50])
def test_bytes_that_encode_no_change_are_refused(data: bytes) -> None:
    with pytest.raises(ChangeError) as caught:
        decode_change(data)
    assert caught.value.faults[0].place == "change"


def test_a_fault_shows_a_bounded_part_of_the_value() -> None:
    wrong = change(Edit("node/" + "x" * 5000, None, b"1"))
    assert len(refused(wrong)) < 400
