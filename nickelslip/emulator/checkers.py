"""What a history has to keep: the four rules on what went over the sockets, and properties of a whole fleet.

Owns plain functions over events, each of which returns what it found broken, a line each, or a figure. It must never
look at anything but the history, and believes no server's word about itself.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from nickelslip.emulator.history import Event, History, Kind


@dataclass
class Life:
    """One life of a server: from its start to its end, and how that came."""

    server: str
    started: float
    told: float = inf  # to leave
    ended: float = inf
    killed: float = inf  # outright, together with its worker pool


@dataclass
class Tried:
    """One transaction at one server, as both sides saw it."""

    ident: str
    server: str
    written: float = inf
    grade: str = ""
    mark: str = ""
    due: float = inf
    gone: float = inf
    crossed: bool = False
    words: list[tuple[float, str, bool]] = field(default_factory=list)
    runs: list[float] = field(default_factory=list)


class Seen:
    """A history sorted by lives, tries and cuts."""

    def __init__(self, history: History) -> None:
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.tries: dict[tuple[str, str], Tried] = {}
        self.cuts: dict[str, list[list[float]]] = defaultdict(list)  # in which a server, or its network, stood still
        self._open_cuts: dict[str, dict[str, list[float]]] = defaultdict(dict)
        self.last = history.events[-1].at if history.events else 0.0
        for event in history.events:
            self._take(event)

    def _try(self, event: Event) -> Tried:
        key = event.server, event.ident
        return self.tries.setdefault(key, Tried(event.ident, event.server))

    def _take(self, event: Event) -> None:
        at, kind, server, _, detail = event
        if kind is Kind.STARTED:
            self.lives[server].append(Life(server, at))
        elif kind is Kind.TOLD_TO_LEAVE:
            self.lives[server][-1].told = at
        elif kind is Kind.ENDED:
            self.lives[server][-1].ended = at
        elif kind is Kind.KILLED and self.lives[server]:
            self.lives[server][-1].killed = min(self.lives[server][-1].killed, at)
        elif kind in (Kind.CUT, Kind.STOPPED):
            self._open_cuts[server][detail or ""] = cut = [at, inf]
            self.cuts[server].append(cut)
        elif kind in (Kind.HEALED, Kind.CONTINUED) and (detail or "") in self._open_cuts[server]:
            self._open_cuts[server].pop(detail or "")[1] = at
        elif kind is Kind.WRITTEN:
            one = self._try(event)
            one.written, (one.grade, one.mark, one.due) = at, detail
        elif kind is Kind.ANSWERED:
            self._try(event).words.append((at, *detail))
        elif kind is Kind.GONE:
            self._try(event).gone = min(self._try(event).gone, at)
        elif kind is Kind.CROSSED:
            self._try(event).crossed = True
        elif kind is Kind.RUN:
            one = self._try(event)
            one.runs.append(at)
            one.grade = one.grade or detail

    def life(self, server: str, at: float) -> Life | None:
        """The life in which something reached the server then."""
        lives = self.lives[server]
        number = bisect_right([each.started for each in lives], at)
        return lives[number - 1] if number else None

    def spared(self, server: str, due: float) -> float:
        """By when what was due then could have got through, cuts considered."""
        for since, until in sorted(self.cuts[server]):
            if since <= due < until:
                due = until
        return due

    def cut_off(self, server: str, begin: float, end: float) -> bool:
        return any(since < end and begin < until for since, until in self.cuts[server])


def rules(
    history: History, replayable: Iterable[str], grace_ms: float, slack_ms: float, window_ms: float = inf
) -> list[str]:
    """What breaks rule 1, 2 or 3. The slack is what the rules and a crowded machine may add. What a server held that
    was killed outright is no longer owed; one that was told to leave owes it to the end."""
    seen, found = Seen(history), []
    may_rerun = set(replayable)
    by_mark: dict[tuple[str, float, str], list[Tried]] = defaultdict(list)
    for one in seen.tries.values():
        life = seen.life(one.server, one.written)
        what = f"{one.grade} {one.ident} at {one.server}, written {one.written:.0f}"
        due = seen.spared(one.server, one.due)
        excused = (
            one.gone <= due + slack_ms
            or one.crossed
            or one.written == inf
            or (
                life is not None
                and (
                    life.killed <= due + slack_ms
                    or (life.ended < inf and seen.cut_off(one.server, one.written, life.ended))
                )
            )
        )
        words = [word for _, word, _ in one.words]
        if len(words) > 1:
            found.append(f"duplicate: {what}: answered {words}")
        if not words and not excused and due + slack_ms < seen.last:
            found.append(f"lost: {what}: never answered")
        if words and one.words[0][0] > due + slack_ms and not excused:
            found.append(f"lost: {what}: answered {one.words[0][0] - due:.0f} ms past its time")
        if any(word == "done" and not good for _, word, good in one.words):
            found.append(f"lost: {what}: answered with what no run made")
        if "done" in words and not one.runs and not one.mark:
            found.append(f"lost: {what}: satisfied and never run")
        if one.grade not in may_rerun and len(one.runs) > 1:
            found.append(f"duplicate: {what}: run {len(one.runs)} times")
        if one.grade not in may_rerun and one.runs and "later" in words:
            found.append(f"duplicate: {what}: dismissed after it ran")
        late = one.written - life.told - grace_ms if life is not None else 0.0
        if one.runs and late > slack_ms:
            found.append(f"drain: {what}: came {late:.0f} ms after the grace, and was run")
        if one.mark and one.runs and life is not None:
            by_mark[one.server, life.started, one.mark].append(one)
    for (server, _, mark), tries in by_mark.items():
        runs = sorted(each.runs[0] for each in tries)
        if any(later - earlier < window_ms for earlier, later in zip(runs, runs[1:], strict=False)):
            found.append(f"duplicate: reference {mark} run {len(runs)} times at {server}")
    return found


def falls(history: History) -> list[str]:
    """Rule 4: what fell over, other than by a fault that was scripted."""
    return [f"fell: {event.detail} {event.server} at {event.at:.0f}" for event in history.of(Kind.FELL)]


def bad_ends(history: History) -> list[str]:
    """Processes that ended by themselves with a failure, or without having been told to leave."""
    seen = Seen(history)
    return [
        f"ended: {event.server} with {event.detail}"
        for event in history.of(Kind.ENDED)
        if event.detail != 0 or seen.lives[event.server] and all(life.told == inf for life in seen.lives[event.server])
    ]


# Properties of a whole fleet


def counts(events: Iterable[Event], bin_ms: float, begin: float, end: float) -> list[int]:
    """How many fell into each span of so many milliseconds."""
    bins = [0] * max(0, int((end - begin) / bin_ms))
    for event in events:
        at = int((event.at - begin) // bin_ms)
        if 0 <= at < len(bins):
            bins[at] += 1
    return bins


def peak_over_mean(events: Iterable[Event], bin_ms: float, begin: float, end: float) -> float:
    """The fullest span over the mean one; 0 where nothing came."""
    bins = counts(events, bin_ms, begin, end)
    return max(bins) * len(bins) / sum(bins) if sum(bins) else 0.0


def sum_over(events: Iterable[Event], amount: Callable[[Event], float], whole: float) -> list[str]:
    """Instants at which the sum of what is out lay over the whole; `amount` says by how much an event changes it."""
    out, found = 0.0, []
    for event in events:
        out += amount(event)
        if out > whole + 1e-9:
            found.append(f"sum: {out:g} of {whole:g} out at {event.at:.0f}, with {event.server} {event.ident}")
    return found


def at_most(spans: Iterable[tuple[float, float]], most: int) -> list[str]:
    """Instants at which more than so many of these spans overlap."""
    steps = sorted([(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans])
    out, found = 0, []
    for at, step in steps:
        out += step
        if out > most:
            found.append(f"at most {most}: {out} at {at:.0f}")
    return found


def unlisted(history: History, names: Iterable[str], begin: float, end: float) -> int:
    """Readings of the list, times servers, in which a server of these was missing from it."""
    wanted = set(names)
    return sum(len(wanted - set(event.detail)) for event in history.of(Kind.LISTED) if begin <= event.at < end)


def credit(history: History, begin: float, end: float, servers: set[str] | None = None) -> tuple[float, float]:
    """Credit asked for by clients that began within this time, and credit satisfied of theirs within the quoted time;
    the second by these servers alone, where some are named. A run without its call earns a part."""
    asked = sum(event.detail[1] for event in history.of(Kind.ASKED) if begin <= event.at < end)
    return asked, sum(
        worth
        for event, worth in earned(history)
        if begin <= event.detail[3] < end and (servers is None or event.server in servers)
    )


def earned(history: History) -> list[tuple[Event, float]]:
    """Each answer that a client had within its quoted time, and the credit earned."""
    left_out = {event.ident for event in history.of(Kind.LEFT_OUT)}
    return [
        (event, event.detail[1] * (event.detail[4] if event.ident in left_out else 1.0))
        for event in history.of(Kind.SATISFIED)
        if event.detail[2]
    ]


def tallied(lines: Iterable[str]) -> dict[str, int]:
    """How many of each kind were found."""
    return dict(Counter(line.split(":")[0] for line in lines))
