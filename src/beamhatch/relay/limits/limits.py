"""The limits that upstreams name, what this VM may send by them, and what it has to tell the others.

The newest word of an upstream holds for its life, whoever heard it: each VM that hears a change from the upstream
itself numbers it one higher than what it knew, and of two words with one number the stricter holds. Answers overtake
each other, so one that takes a limit back, or raises it, counts only where its request went out behind the word that it
takes back.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from beamhatch.relay.limits.account import Account
from beamhatch.relay.limits.words import LimitWord, Origin, Spent, make_key
from beamhatch.relay.model import Incarnation, UpstreamId, hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from beamhatch.relay.limits.words import LifeKey
    from beamhatch.relay.model import Upstream

LARGEST_RATE = 1000.0
"""Requests a second from which on a limit is none: more than all VMs of the size to design for send to any upstream."""

ENDED_LIFE = 30.0
"""Seconds for which it is remembered that a limit is over: longer than an older word travels."""

MOST_LIFE_ACCOUNTS = 1024
"""Lives that name a limit of which this VM keeps accounts, the newest: up to 64 KB each where all VMs send there."""

SENDING_VMS = 16.0
SENDING_PER_RATE = 8.0
"""VMs that send to an upstream which names a limit: so many, and so many more for each request a second; all of fewer.

They need to know of each other's requests, so these cost bytes for each of them; and a fourth of them get a request
while news travel, where each gets three a second: with all of 300 that is more than an upstream bears beyond its limit.
With fewer, a limit is not used where callers are at few VMs.
"""

TOLD_SLACK = 1.5
"""Times that number of VMs are told of requests: they may know of fewer VMs, and take themselves for one of those."""

ORIGIN_BITS = 32
"""Enough that two starts of VMs hardly ever draw one number; what they sent would then be counted too low at first."""


MOST_PLACES = 65_536
"""Places of VMs that are remembered, of 100 peers at 600 upstreams: 8 MB."""

NO_LIFE = Incarnation(UpstreamId(""), 0)


def _count_one() -> int:
    return 1


def _share_all() -> float:
    return 1.0


def _ignore() -> None:
    """Take no notice."""


@dataclass(slots=True)
class LimitPermit:
    """Room for one request at an upstream that names a limit, from the plan until it goes out or is given up."""

    limits: Limits
    life: Incarnation
    _held: bool = True

    def use(self, now: float) -> None:
        """Use it: the request goes out now."""
        self._held = False

    def drop(self, now: float) -> None:
        """Keep the room for another request, unless it was used."""
        if self._held:
            self._held = False
            self.limits.give_back(self.life, now)


@dataclass(slots=True)
class Limits:
    """All limits that this VM knows of."""

    origin: Origin = field(default_factory=lambda: Origin(random.SystemRandom().getrandbits(ORIGIN_BITS)))
    own: str = ""
    """The address by which this VM's place among all is found: a restart does not change it."""
    shared: bool = True
    """Whether all VMs keep one account together; else each one keeps an equal part for itself."""
    count_vms: Callable[[], int] = _count_one
    """Returns how many VMs there are, as far as this one knows."""
    find_share: Callable[[], float] = _share_all
    """Returns the part of all VMs that hear of each other and of this one."""
    on_news: Callable[[], None] = _ignore
    """Called when there is something to tell other VMs."""
    _accounts: dict[Incarnation, Account] = field(default_factory=dict)
    _ids: set[UpstreamId] = field(default_factory=set)
    """Whose lives these are: most upstreams name no limit, and are passed by their ids."""
    _by_key: dict[LifeKey, Incarnation] = field(default_factory=dict)
    _untold: dict[LifeKey, Spent] = field(default_factory=dict)
    _untold_words: dict[Incarnation, LimitWord] = field(default_factory=dict)

    # --- what is known -----------------------------------------------------------------------------------------------

    def find(self, life: Incarnation) -> float | None:
        """Return the limit of a life in requests a second, None where it names none."""
        account = self._accounts.get(life)
        return None if account is None else account.rate

    def count(self) -> int:
        """Return how many lives name one."""
        return sum(account.rate is not None for account in self._accounts.values())

    def take(self, life: Incarnation, rate: float | None, asked_at: float, now: float) -> bool:
        """Take in what an answer of the upstream names, None for nothing; return whether that is news.

        :param asked_at: when the request went out that is answered
        """
        if rate is not None and rate >= LARGEST_RATE:
            rate = None
        account = self._accounts.get(life)
        if account is None:
            if rate is None:
                return False
            account = self._open(life, LimitWord(life, 1, rate), now)
        elif account.rate == rate:
            return False
        else:
            if asked_at < account.heard_at and not _is_stricter(rate, account.rate):
                return False
            account.fill(self.find_share(), now)
            account.take_rate(rate, account.version + 1, now)
        self._tell_word(life, account)
        return True

    def take_word(self, word: LimitWord, now: float) -> bool:
        """Take in what another VM knows; return whether that is news."""
        account = self._accounts.get(word.life)
        if account is None:
            account = self._open(word.life, word, now)
        else:
            is_newer = word.version > account.version
            is_stricter = word.version == account.version and _is_stricter(word.rate, account.rate)
            if not is_newer and not is_stricter:
                return False
            account.fill(self.find_share(), now)
            account.take_rate(word.rate, word.version, now)
        return True

    def _open(self, life: Incarnation, word: LimitWord, now: float) -> Account:
        account = Account(word.rate, word.version, now, now, level=min(0.0, word.level))
        key = make_key(life)
        account.place = _find_place(key, self.own)
        self._accounts[life] = account
        self._ids.add(life.id)
        self._by_key[key] = life
        if len(self._accounts) > MOST_LIFE_ACCOUNTS:
            self._drop(next(iter(self._accounts)))
        return account

    def _drop(self, life: Incarnation) -> None:
        del self._accounts[life]
        self._note_dropped()

    def _note_dropped(self) -> None:
        self._ids = {life.id for life in self._accounts}
        self._by_key = {make_key(life): life for life in self._accounts}

    def forget_old(self, now: float) -> None:
        """Drop limits that were over long ago."""
        for life, account in list(self._accounts.items()):
            if account.rate is None and now - account.heard_at > ENDED_LIFE:
                self._drop(life)

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop those of upstreams that are not known any more."""
        if any(known not in listed for known in self._ids):
            self._accounts = {life: account for life, account in self._accounts.items() if life.id in listed}
            self._note_dropped()

    # --- what may be sent --------------------------------------------------------------------------------------------

    def may_be_sent(self, upstream: Upstream, now: float, *, owed: bool = False) -> bool:
        """Tell whether an upstream may be sent one more request; see ``may_send``."""
        return upstream.id not in self._ids or self.may_send(upstream.incarnation, now, owed=owed)

    def may_send(self, life: Incarnation, now: float, *, owed: bool = False) -> bool:
        """Tell whether this VM may send one more request to an upstream. It only looks.

        :param owed: whether its caller was refused before
        """
        account = self._accounts.get(life)
        if account is None or account.rate is None:
            return True
        account.fill(self._find_part(), now)
        if not self.shared:
            return account.has_room(1, now, owed=owed)
        return self._sends(account) and account.has_room(self.count_vms(), now, owed=owed)

    def _sends(self, account: Account) -> bool:
        """Tell whether this VM is one of those that send to an upstream."""
        return account.place * self.count_vms() < _find_sending(account)

    def has_part(self, key: LifeKey, vm: str) -> bool:
        """Tell whether another VM may be one of those that send to an upstream, and has to know what others sent."""
        account = self._accounts.get(self._by_key.get(key, NO_LIFE))
        vms = self.count_vms()
        if account is None or vms <= SENDING_VMS:
            return True
        return _find_place(key, vm) * vms < TOLD_SLACK * _find_sending(account)

    def _find_part(self) -> float:
        share = self.find_share()
        return share if self.shared else share / max(1, self.count_vms())

    def spend(self, life: Incarnation, now: float) -> bool:
        """Count a request; return whether its upstream names a limit."""
        account = self._accounts.get(life)
        if account is None or account.rate is None:
            return False
        account.fill(self._find_part(), now)
        count = account.take(now)
        if self.shared and count is not None:
            key = make_key(life)
            before = self._untold.get(key)
            new = 1 if before is None else 1 + before.new
            self._untold[key] = Spent(key, self.origin, count, new)
            self.on_news()
        return True

    def hold(self, life: Incarnation, now: float) -> LimitPermit | None:
        """Take room for a request that is to go out; None where its upstream names no limit.

        The others are told now: while a prompt is read elsewhere, they would else take the same room.
        """
        return LimitPermit(self, life) if self.spend(life, now) else None

    def give_back(self, life: Incarnation, now: float) -> None:
        """Keep room that was held and not used for this VM's next request."""
        account = self._accounts.get(life)
        if account is not None:
            account.give_back(now)

    def describe(self, life: Incarnation) -> dict[str, object]:
        """Return what this VM's part of a limit follows from, as it is written to the log."""
        account = self._accounts.get(life)
        if account is None:
            return {}
        return {
            "number": account.version,
            "vms": self.count_vms(),
            "share": round(self.find_share(), 2),
            "sends": self._sends(account),
        }

    def find_wait(self, life: Incarnation, now: float) -> float:
        """Return the seconds until a request should find room at an upstream that names a limit, where none has now."""
        account = self._accounts.get(life)
        if account is None or account.rate is None:
            return 0.0
        part = self._find_part()
        account.fill(part, now)
        return account.find_wait(part)

    def find_pace(self, lives: Iterable[Incarnation]) -> float:
        """Return the requests a second that some upstreams take by their limits, those that name none left out."""
        share = self.find_share()
        accounts = (self._accounts.get(life) for life in lives)
        return sum(one.find_pace(share) for one in accounts if one is not None and one.rate is not None)

    def note_refused(self, lives: Iterable[Incarnation], until: float) -> None:
        """Note that a caller was refused as these upstreams take no more, and may be back by some time."""
        for life in lives:
            account = self._accounts.get(life)
            if account is not None:
                account.contended_until = max(account.contended_until, until)

    # --- what VMs tell each other ------------------------------------------------------------------------------------

    def take_spent(self, spent: Spent, now: float) -> Spent | None:
        """Take in what another VM has sent; return it with what was news to this one, None where nothing was."""
        account = self._accounts.get(self._by_key.get(spent.life, NO_LIFE))
        if account is None or spent.origin == self.origin or not self.shared:
            return None
        account.fill(self.find_share(), now)
        news = account.take_told(spent.origin, spent.count, spent.new)
        return Spent(spent.life, spent.origin, spent.count, news) if news else None

    def list_words(self, now: float) -> list[LimitWord]:
        """Return all that is known, for a peer that may know nothing."""
        share = self.find_share()
        for account in self._accounts.values():
            account.fill(share, now)
        return [_make_word(life, account) for life, account in self._accounts.items()]

    def take_untold(self) -> tuple[list[LimitWord], list[Spent]]:
        """Return what this VM has heard and sent itself since it was last asked, and take it as told."""
        words, spent = list(self._untold_words.values()), list(self._untold.values())
        self._untold_words, self._untold = {}, {}
        return words, spent

    def _tell_word(self, life: Incarnation, account: Account) -> None:
        self._untold_words[life] = _make_word(life, account)
        self.on_news()


def _find_sending(account: Account) -> float:
    """Return how many VMs send to an upstream."""
    return SENDING_VMS + SENDING_PER_RATE * (account.rate or 0.0)


@lru_cache(maxsize=MOST_PLACES)
def _find_place(key: LifeKey, vm: str) -> float:
    """Return the place of a VM among those that send to an upstream, the same on all VMs."""
    return hash_to_fraction(f"{key}/{vm}")


def _make_word(life: Incarnation, account: Account) -> LimitWord:
    return LimitWord(life, account.version, account.rate, round(account.level, 2))


def _is_stricter(rate: float | None, than: float | None) -> bool:
    """Tell whether a limit is lower than another one; None is no limit."""
    return (math.inf if rate is None else rate) < (math.inf if than is None else than)
