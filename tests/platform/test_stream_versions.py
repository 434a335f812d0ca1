"""Streams of a service whose upstreams run two versions of the software."""

from __future__ import annotations

from tests.support.platform import Platform, make_platform


def list_sent(platform: Platform, request: str) -> list[dict[str, object]]:
    lines = platform.journals["vm1"].lines
    return [line for line in lines if line["event"] == "sent" and line["request"] == request]


def test_log_lines_tell_the_version_that_began_a_stream_and_each_one_that_continued_it() -> None:
    platform = make_platform(prefill=1, decode=2)
    for number in range(2):
        platform.upstreams[f"decode-{number}"].cut_after = 4  # type: ignore[attr-defined]
    platform.finish(platform.call("/resumable/x", "q1"))
    begun, *continued = [line for line in list_sent(platform, "q1") if line["stage"] != "prefill"]
    assert begun["software"] == "v1"
    assert "after_event" not in begun
    assert [(line["after_event"], line["begun_by"], line["software"]) for line in continued] == [(4, "v1", "v1")]
    tally = platform.vms["vm1"].core.tally
    assert tally.counts["streams_continued_total", "same"] == 1


def test_log_lines_tell_that_a_caller_takes_a_stream_up_and_where_it_began() -> None:
    platform = make_platform()
    platform.finish(platform.call("/resumable/x", "q2", headers={"Last-Event-Id": "3", "Resumes": "q1"}))
    line = next(line for line in platform.journals["vm1"].lines if line["event"] == "takes up a stream")
    assert (line["request"], line["began_as"], line["last_event"]) == ("q2", "q1", 3)
