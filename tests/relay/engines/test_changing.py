"""What is believed of engines that were ordered to play another part."""

from __future__ import annotations

from beamhatch.relay.engines.changing import LONGEST_CHANGE, ChangeNews, Changes
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId

ENGINE = UpstreamId("u1")
NOW = 100.0


def make(name: str, phase: Phase = Phase.DECODE) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), "a", False, phase, 9)


def news(seconds: float = 10.0, *, certain: bool = True) -> ChangeNews:
    return ChangeNews(Phase.PREFILL, seconds, certain)


def test_an_engine_that_is_changing_is_passed_over_until_its_entry_shows_the_new_part() -> None:
    changes = Changes()
    engines = [make("u1"), make("u2")]
    assert changes.take(ENGINE, news(), NOW)
    assert changes.pass_over(engines, NOW) == [engines[1]]
    changes.end(ENGINE, Phase.DECODE)
    assert changes.pass_over(engines, NOW) == [engines[1]]
    changes.end(ENGINE, Phase.PREFILL)
    assert changes.pass_over(engines, NOW) == engines


def test_a_change_is_not_believed_for_ever() -> None:
    changes = Changes()
    changes.take(ENGINE, news(1e9), NOW)
    assert changes.pass_over([make("u1")], NOW + LONGEST_CHANGE - 0.1) == []
    assert changes.pass_over([make("u1")], NOW + LONGEST_CHANGE) == [make("u1")]


def test_an_engine_is_used_until_its_uncertain_change_shows() -> None:
    changes = Changes()
    changes.take(ENGINE, news(certain=False), NOW)
    assert changes.pass_over([make("u1")], NOW) == [make("u1")]
    assert changes.is_under_way(ENGINE, NOW)
    assert [one.phase for one in changes.foresee([make("u1"), make("u2")], NOW)] == [Phase.PREFILL, Phase.DECODE]
    assert not changes.confirm(UpstreamId("u2"), NOW)
    assert changes.confirm(ENGINE, NOW)
    assert changes.pass_over([make("u1")], NOW) == []


def test_news_are_told_on_and_end_everywhere() -> None:
    here, there = Changes(), Changes()
    here.take(ENGINE, news(10.0), NOW)
    for upstream, told in here.list_news(NOW + 4).items():
        there.take(UpstreamId(upstream), told, NOW + 4)
    assert not here.take(ENGINE, there.list_news(NOW + 4)["u1"], NOW + 4)
    assert there.pass_over([make("u1")], NOW + 9.9) == []
    assert there.pass_over([make("u1")], NOW + 10.1) == [make("u1")]
    assert there.list_news(NOW + 10.1) == {}


def test_what_is_certain_takes_the_place_of_what_is_not() -> None:
    changes = Changes()
    assert changes.take(ENGINE, news(certain=False), NOW)
    assert changes.take(ENGINE, news(certain=True), NOW)
    assert not changes.take(ENGINE, news(certain=False), NOW)
    assert changes.pass_over([make("u1")], NOW) == []
