"""The schema of a document in our own words: every word that an operator may set, its bounds, and when a change of
it acts.

Owns the list of words with their kinds, bounds, defaults and effects, and nothing else: reading is document.py's,
comparing is plan.py's. It must never hold a value of a deployment.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any

VERSION = 1  # of this schema; a document that names a later one is refused, an older one would be read by its own


class Effect(Enum):
    """When a change of a word acts."""

    AT_ONCE = "taken at once"
    NEW = "taken by transactions read from now on"
    LINKS = "needs links to new peers"
    RESTART = "needs a restart"


class Kind(Enum):
    """What a value is."""

    NUMBER = "a number"
    WHOLE = "a whole number"
    FLAG = "true or false"
    TEXT = "a text"
    WORD = "one word"
    HEX = "hex digits"
    ADDRESS = "host:port"
    CHOICE = "one of some words"
    TEXTS = "a list of texts"


class Needed:
    """Stands where a word has no default."""

    def __repr__(self) -> str:
        return "needed"


NEEDED = Needed()


@dataclass(frozen=True)
class Word:
    """One word of the schema. Bounds include their ends, but the least where `above` says so."""

    name: str
    kind: Kind
    effect: Effect
    default: Any = NEEDED
    least: float = 0.0
    most: float = inf
    above: bool = False
    choices: tuple[str, ...] = ()
    says: str = ""


def _number(name: str, effect: Effect, default: Any = NEEDED, says: str = "", **bounds: Any) -> Word:
    return Word(name, Kind.NUMBER, effect, default, says=says, **bounds)


def _whole(name: str, effect: Effect, default: Any = NEEDED, says: str = "", least: float = 1, **bounds: Any) -> Word:
    return Word(name, Kind.WHOLE, effect, default, says=says, least=least, **bounds)


_A, _N, _L, _R = Effect.AT_ONCE, Effect.NEW, Effect.LINKS, Effect.RESTART
SPAN_MOST_MS = 86_400_000.0

NODE = (
    Word("name", Kind.WORD, _R, says="this server's name, the same after a restart"),
    Word("listen", Kind.ADDRESS, _R, says="where balancers connect"),
    Word("seed", Kind.HEX, _R, "0", says="of chance; drawn anew at each start and never compared"),
    _number("stop_ms", _A, says="from the notice to leave to the kill", above=True, most=SPAN_MOST_MS),
    _number("memory_mb", _R, says="of this process", above=True),
    _whole("descriptors", _A, says="of this process", least=32),
    Word(
        "starts",
        Kind.TEXT,
        _R,
        "",
        says="a folder that outlives the server, where early deaths are remembered; empty: they are not",
    ),
)
PEERS = (
    Word("pool", Kind.ADDRESS, _L, says="the worker pool"),
    Word("records", Kind.ADDRESS, _L, None, says="the service that is called while transactions run"),
    Word("directory", Kind.ADDRESS, _L, says="where this server is reported"),
)
MACHINE = (
    _whole("cores", _A, says="of the worker pool"),
    _number("memory_kb", _A, says="of the worker pool", above=True),
    _number("run_factor", _A, 1.0, "memory of a running transaction over that of a held one", least=1.0),
    Word("cold", Kind.FLAG, _R, False, says="whether a start is cold"),
    _number("cold_from", _R, 1.0, "part of its speed that a cold server starts at", most=1.0),
    _number("cold_ms", _R, 1.0, "until it is warm", above=True, most=SPAN_MOST_MS),
    _number("crowd_multiple", _A, says="running transactions a core that a warm server survives", least=1.0),
    _whole("running_most", _A, None, "transactions on the cores at once; absent: as many as the crowd allows"),
    _number("answer_slack_ms", _A, 0.0, "by which an answer may be late", most=SPAN_MOST_MS),
    _number(
        "drain_grace_ms",
        _A,
        says="after the notice to leave, in which what arrives may still be run",
        most=SPAN_MOST_MS,
    ),
    _number("tick_ms", _A, says="how finely time is told", above=True, most=1000.0),
    Word(
        "stopping",
        Kind.CHOICE,
        _R,
        "never",
        choices=("never", "drop", "pause"),
        says="whether a run can be taken off the cores",
    ),
    Word("gauges", Kind.TEXTS, _R, (), says="names of the gauges, in the worker pool's order"),
)
CALLERS = (
    _whole("servers", _A, 1, "in the fleet"),
    _whole("callers", _A, 1, "balancers in front of it"),
    Word(
        "said",
        Kind.CHOICE,
        _A,
        "nothing",
        choices=("nothing", "chance", "slots", "rank"),
        says="what callers take the said weight for",
    ),
    _number("advice_most_ms", _A, 0.0, "longest advice that callers heed; 0: none is given", most=SPAN_MOST_MS),
    Word("marks_again", Kind.FLAG, _A, False, says="whether further tries are marked"),
    _number("idle_ms", _A, 0.0, "after which callers close unused connections", most=SPAN_MOST_MS),
    Word("checks_work", Kind.FLAG, _R, False, says="whether a check works like a small transaction"),
)
RANKING = (
    _number("beyond_share_worth", _N, 1.0, "of a transaction beyond its customer's share", most=1.0),
    Word("counted_by_work", Kind.FLAG, _N, False, says="whether credit is earned for work and not for transactions"),
)
CALLS = (
    _number("share", _A, 0.0, "mean number of calls out that is this server's part; 0: no bound is told"),
    _number("span_ms", _R, 0.0, "over which that mean is taken", most=SPAN_MOST_MS),
    _number("linger_ms", _A, 0.0, "how long a call that was given up stays out", most=SPAN_MOST_MS),
)
STORE = (
    _number("entry_kb", _A, 0.0, "memory of a remembered transaction"),
    _number("fresh_ms", _N, 0.0, "how long the answer to a read may serve others", most=SPAN_MOST_MS),
)
CHANGES = (
    Word("socket", Kind.TEXT, _R, "", says="path of the control socket; empty: there is none"),
    _whole("socket_mode", _R, 0o600, "permissions of the control socket", least=0, most=0o777),
    Word("history", Kind.TEXT, _R, "", says="a folder that outlives the server; empty: in memory"),
    _number("history_kb", _R, 1024.0, "after which the history is written anew with what counts", least=64.0),
    _number("probation_ms", _A, 10_000.0, "in which a change must do no harm", least=1000.0, most=SPAN_MOST_MS),
    _number("probation_most_ms", _A, 60_000.0, "where too little can be told before", most=SPAN_MOST_MS),
    _number(
        "baseline_ms", _A, 20_000.0, "how far back the time before a change is looked at", least=2000.0, most=300_000.0
    ),
    _number("sigmas", _A, 4.0, "by so many standard errors worse is no chance", least=2.0, most=20.0),
    _number("held_off_ms", _A, 600_000.0, "how long an undone document is refused", most=SPAN_MOST_MS),
    Word("reload", Kind.CHOICE, _A, "all", choices=("peers", "all"), says="what SIGHUP takes of a changed file"),
)
GRADE = (
    _number("credit", _N, says="of a transaction satisfied in its quoted time"),
    _number("quoted_ms", _N, says="within which an answer is wanted", above=True, most=SPAN_MOST_MS),
    _number("abandon_ms", _N, says="after which a client gives up", above=True, most=SPAN_MOST_MS),
    Word(
        "repeat",
        Kind.CHOICE,
        _R,
        choices=("replayable", "referenced", "single-use"),
        says="what may happen to it a second time",
    ),
    _number("window_ms", _N, 0.0, "referenced: a repeat may come so long after an arrival", most=SPAN_MOST_MS),
    _number("late_share", _N, 0.0, "of its credit that an answer after the quoted time earns", most=1.0),
    _number("stretch", _N, 0.0, "extra quoted time, as a multiple of the work"),
    Word("calls", Kind.FLAG, _N, False, says="whether its runs make calls"),
    _number("omit_share", _N, 0.0, "of its credit that an answer without its call earns; 0: not allowed", most=1.0),
    _whole("reserve", _A, 0, "running slots that other grades leave free for it", least=0),
)
CUSTOMER = (_number("share_per_s", _A, 0.0, "transactions a second, over all servers, that count in full"),)

SECTIONS: Mapping[str, tuple[Word, ...]] = {
    "node": NODE,
    "peers": PEERS,
    "machine": MACHINE,
    "callers": CALLERS,
    "ranking": RANKING,
    "calls": CALLS,
    "store": STORE,
    "changes": CHANGES,
}
NAMED: Mapping[str, tuple[Word, ...]] = {"grades": GRADE, "customers": CUSTOMER}  # a section for each name
NAMED_MOST: Mapping[str, int] = {"grades": 64, "customers": 4096}
NEVER_COMPARED = frozenset({("node", "seed")})
COMES_AND_GOES = {"grades": Effect.NEW, "customers": Effect.AT_ONCE}  # a name that is added or taken out


def word_at(path: tuple[str, ...]) -> Word | None:
    """The word of a path such as ("machine", "cores") or ("grades", "refund", "credit")."""
    if len(path) == 2 and path[0] in SECTIONS:
        words, name = SECTIONS[path[0]], path[1]
    elif len(path) == 3 and path[0] in NAMED:
        words, name = NAMED[path[0]], path[2]
    else:
        return None
    return next((word for word in words if word.name == name), None)


def each_word() -> Iterator[tuple[str, Word]]:
    """Every word with the text of its path, for the operators' reference."""
    for section, words in SECTIONS.items():
        yield from ((f"{section}.{word.name}", word) for word in words)
    for section, words in NAMED.items():
        yield from ((f"{section}.NAME.{word.name}", word) for word in words)
