"""The schema of a configuration document: each section with its fields.

`nickelslip config words` prints the names and the descriptions. They must not change. The schema contains no values of
a particular deployment.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from nickelslip.configuration.descriptors import MIN_DESCRIPTORS
from nickelslip.configuration.schema_fields import Effect, Field, FieldType, integer_field, number_field

SCHEMA_VERSION = 1  # documents of a later version are rejected

MAX_DURATION_MS = 86_400_000.0  # one day

NODE = (
    Field("name", FieldType.TOKEN, Effect.RESTART, description="this server's name, the same after a restart"),
    Field("listen", FieldType.ADDRESS, Effect.RESTART, description="where balancers connect"),
    Field(
        "seed", FieldType.HEX, Effect.RESTART, "0", description="of chance; drawn anew at each start and never compared"
    ),
    number_field(
        "stop_ms",
        Effect.AT_ONCE,
        description="from the notice to leave to the kill",
        exclusive_min=True,
        max_value=MAX_DURATION_MS,
    ),
    number_field("memory_mb", Effect.RESTART, description="of this process", exclusive_min=True),
    integer_field("descriptors", Effect.AT_ONCE, description="of this process", min_value=MIN_DESCRIPTORS),
    Field(
        "starts",
        FieldType.STRING,
        Effect.RESTART,
        "",
        description="a folder that outlives the server, where early deaths are remembered; empty: they are not",
    ),
)
PEERS = (
    Field("pool", FieldType.ADDRESS, Effect.LINKS, description="the worker pool"),
    Field(
        "records",
        FieldType.ADDRESS,
        Effect.LINKS,
        None,
        description="the service that is called while transactions run",
    ),
    Field("directory", FieldType.ADDRESS, Effect.LINKS, description="where this server is reported"),
)
MACHINE = (
    integer_field("cores", Effect.AT_ONCE, description="of the worker pool"),
    number_field("memory_kb", Effect.AT_ONCE, description="of the worker pool", exclusive_min=True),
    number_field(
        "run_factor", Effect.AT_ONCE, 1.0, "memory of a running transaction over that of a held one", min_value=1.0
    ),
    Field("cold", FieldType.BOOLEAN, Effect.RESTART, False, description="whether a start is cold"),
    number_field("cold_from", Effect.RESTART, 1.0, "part of its speed that a cold server starts at", max_value=1.0),
    number_field("cold_ms", Effect.RESTART, 1.0, "until it is warm", exclusive_min=True, max_value=MAX_DURATION_MS),
    number_field(
        "crowd_multiple",
        Effect.AT_ONCE,
        description="running transactions a core that a warm server survives",
        min_value=1.0,
    ),
    integer_field(
        "running_most", Effect.AT_ONCE, None, "transactions on the cores at once; absent: as many as the crowd allows"
    ),
    number_field("answer_slack_ms", Effect.AT_ONCE, 0.0, "by which an answer may be late", max_value=MAX_DURATION_MS),
    number_field(
        "drain_grace_ms",
        Effect.AT_ONCE,
        description="after the notice to leave, in which what arrives may still be run",
        max_value=MAX_DURATION_MS,
    ),
    number_field(
        "tick_ms", Effect.AT_ONCE, description="how finely time is told", exclusive_min=True, max_value=1000.0
    ),
    Field(
        "stopping",
        FieldType.CHOICE,
        Effect.RESTART,
        "never",
        choices=("never", "drop", "pause"),
        description="whether a run can be taken off the cores",
    ),
    Field(
        "gauges",
        FieldType.STRING_LIST,
        Effect.RESTART,
        (),
        description="names of the gauges, in the worker pool's order",
    ),
)
CALLERS = (
    integer_field("servers", Effect.AT_ONCE, 1, "in the fleet"),
    integer_field("callers", Effect.AT_ONCE, 1, "balancers in front of it"),
    Field(
        "said",
        FieldType.CHOICE,
        Effect.AT_ONCE,
        "nothing",
        choices=("nothing", "chance", "slots", "rank"),
        description="what callers take the said weight for",
    ),
    number_field(
        "advice_most_ms",
        Effect.AT_ONCE,
        0.0,
        "longest advice that callers heed; 0: none is given",
        max_value=MAX_DURATION_MS,
    ),
    Field("marks_again", FieldType.BOOLEAN, Effect.AT_ONCE, False, description="whether further tries are marked"),
    number_field(
        "idle_ms", Effect.AT_ONCE, 0.0, "after which callers close unused connections", max_value=MAX_DURATION_MS
    ),
    Field(
        "checks_work",
        FieldType.BOOLEAN,
        Effect.RESTART,
        False,
        description="whether a check works like a small transaction",
    ),
)
RANKING = (
    number_field("beyond_share_worth", Effect.NEW, 1.0, "of a transaction beyond its customer's share", max_value=1.0),
    Field(
        "counted_by_work",
        FieldType.BOOLEAN,
        Effect.NEW,
        False,
        description="whether credit is earned for work and not for transactions",
    ),
)
CALLS = (
    number_field(
        "share", Effect.AT_ONCE, 0.0, "mean number of calls out that is this server's part; 0: no bound is told"
    ),
    number_field("span_ms", Effect.RESTART, 0.0, "over which that mean is taken", max_value=MAX_DURATION_MS),
    number_field(
        "linger_ms", Effect.AT_ONCE, 0.0, "how long a call that was given up stays out", max_value=MAX_DURATION_MS
    ),
)
STORE = (
    number_field("entry_kb", Effect.AT_ONCE, 0.0, "memory of a remembered transaction"),
    number_field(
        "fresh_ms", Effect.NEW, 0.0, "how long the answer to a read may serve others", max_value=MAX_DURATION_MS
    ),
)
CHANGES = (
    Field(
        "socket", FieldType.STRING, Effect.RESTART, "", description="path of the control socket; empty: there is none"
    ),
    integer_field(
        "socket_mode", Effect.RESTART, 0o600, "permissions of the control socket", min_value=0, max_value=0o777
    ),
    Field(
        "history",
        FieldType.STRING,
        Effect.RESTART,
        "",
        description="a folder that outlives the server; empty: in memory",
    ),
    number_field(
        "history_kb", Effect.RESTART, 1024.0, "after which the history is written anew with what counts", min_value=64.0
    ),
    number_field(
        "probation_ms",
        Effect.AT_ONCE,
        10_000.0,
        "in which a change must do no harm",
        min_value=1000.0,
        max_value=MAX_DURATION_MS,
    ),
    number_field(
        "probation_most_ms", Effect.AT_ONCE, 60_000.0, "where too little can be told before", max_value=MAX_DURATION_MS
    ),
    number_field(
        "baseline_ms",
        Effect.AT_ONCE,
        20_000.0,
        "how far back the time before a change is looked at",
        min_value=2000.0,
        max_value=300_000.0,
    ),
    number_field(
        "sigmas", Effect.AT_ONCE, 4.0, "by so many standard errors worse is no chance", min_value=2.0, max_value=20.0
    ),
    number_field(
        "held_off_ms", Effect.AT_ONCE, 600_000.0, "how long an undone document is refused", max_value=MAX_DURATION_MS
    ),
    Field(
        "reload",
        FieldType.CHOICE,
        Effect.AT_ONCE,
        "all",
        choices=("peers", "all"),
        description="what SIGHUP takes of a changed file",
    ),
)
GRADE = (
    number_field("credit", Effect.NEW, description="of a transaction satisfied in its quoted time"),
    number_field(
        "quoted_ms",
        Effect.NEW,
        description="within which an answer is wanted",
        exclusive_min=True,
        max_value=MAX_DURATION_MS,
    ),
    number_field(
        "abandon_ms",
        Effect.NEW,
        description="after which a client gives up",
        exclusive_min=True,
        max_value=MAX_DURATION_MS,
    ),
    Field(
        "repeat",
        FieldType.CHOICE,
        Effect.RESTART,
        choices=("replayable", "referenced", "single-use"),
        description="what may happen to it a second time",
    ),
    number_field(
        "window_ms",
        Effect.NEW,
        0.0,
        "referenced: a repeat may come so long after an arrival",
        max_value=MAX_DURATION_MS,
    ),
    number_field(
        "late_share", Effect.NEW, 0.0, "of its credit that an answer after the quoted time earns", max_value=1.0
    ),
    number_field("stretch", Effect.NEW, 0.0, "extra quoted time, as a multiple of the work"),
    Field("calls", FieldType.BOOLEAN, Effect.NEW, False, description="whether its runs make calls"),
    number_field(
        "omit_share",
        Effect.NEW,
        0.0,
        "of its credit that an answer without its call earns; 0: not allowed",
        max_value=1.0,
    ),
    integer_field("reserve", Effect.AT_ONCE, 0, "running slots that other grades leave free for it", min_value=0),
)
CUSTOMER = (
    number_field("share_per_s", Effect.AT_ONCE, 0.0, "transactions a second, over all servers, that count in full"),
)

SECTIONS: Mapping[str, tuple[Field, ...]] = {
    "node": NODE,
    "peers": PEERS,
    "machine": MACHINE,
    "callers": CALLERS,
    "ranking": RANKING,
    "calls": CALLS,
    "store": STORE,
    "changes": CHANGES,
}
# Sections that contain one inner section for each name
NAMED_SECTIONS: Mapping[str, tuple[Field, ...]] = {"grades": GRADE, "customers": CUSTOMER}
MAX_NAMES: Mapping[str, int] = {"grades": 64, "customers": 4096}
NAME_EFFECTS = {"grades": Effect.NEW, "customers": Effect.AT_ONCE}  # when adding or removing a name takes effect
NEVER_COMPARED = frozenset({("node", "seed")})


def field_at(path: tuple[str, ...]) -> Field | None:
    """Return the field of a path such as ("machine", "cores") or ("grades", "refund", "credit"), if there is one."""
    match path:
        case (section, key) if section in SECTIONS:
            fields = SECTIONS[section]
        case (section, _, key) if section in NAMED_SECTIONS:
            fields = NAMED_SECTIONS[section]
        case _:
            return None
    return next((field for field in fields if field.name == key), None)


def all_fields() -> Iterator[tuple[str, Field]]:
    """Yield every field with its path as text, with NAME for the name of a traffic class or tenant."""
    for section, fields in SECTIONS.items():
        yield from ((f"{section}.{field.name}", field) for field in fields)
    for section, fields in NAMED_SECTIONS.items():
        yield from ((f"{section}.NAME.{field.name}", field) for field in fields)
