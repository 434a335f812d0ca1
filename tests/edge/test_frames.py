"""The frame cutter against a naive parser, for any cutting of the stream into pieces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.edge.upstream.frames import FrameCutter, FrameError

RUN = "vm.1.1-d2"


def make_frame(run: str, offset: int, data: str) -> bytes:
    return f"id: {run}/{offset}\ndata: {data}\n\n".encode()


@given(
    words=st.lists(st.text(st.characters(exclude_characters="\n\r", codec="utf-8"), max_size=8), max_size=12),
    noise=st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=4),
    cuts=st.lists(st.integers(1, 40), max_size=20),
)
def test_what_is_passed_on_is_each_own_frame_once_and_in_order(
    words: list[str], noise: list[tuple[int, bool]], cuts: list[int]
) -> None:
    own = [make_frame(RUN, number, word) for number, word in enumerate(words, 1)]
    mixed = list(own)
    for place, foreign in noise:
        place = min(place, len(mixed))
        before = [frame for frame in mixed[:place] if frame in own]
        mixed.insert(place, make_frame("other", 1, "x") if foreign or not before else before[-1])
    stream, pieces = b"".join(mixed), []
    for cut in cuts:
        pieces.append(stream[:cut])
        stream = stream[cut:]
    cutter = FrameCutter(RUN)
    passed = b"".join(piece if cutter.take_one(piece) else cutter.feed(piece).frames for piece in [*pieces, stream])
    assert passed == b"".join(own)
    assert cutter.offset == len(own)


def test_a_missing_frame_is_an_error() -> None:
    cutter = FrameCutter(RUN)
    cutter.feed(make_frame(RUN, 1, "a"))
    with pytest.raises(FrameError):
        cutter.feed(make_frame(RUN, 3, "c"))


def test_the_last_frame_is_noticed() -> None:
    cutter = FrameCutter(RUN, after=4)
    assert not cutter.feed(make_frame(RUN, 5, "x")).done
    assert cutter.feed(make_frame(RUN, 6, "[DONE]")).done
