"""Small cases, one for each failure found or rule that is easy to get wrong."""

from dataclasses import replace

import pytest

from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.interface import Gauges, LoadSignal, Outcome, Preemption, RequestState, RetrySafety, Tenant
from tests.helpers import BOOK, PAY, READ, World, settings


def states(result):
    return [(change.id, change.state) for change in result.state_changes]


def busy_world(**changes):
    """Both cores taken by runs that take their guessed mean."""
    world = World(settings(**changes))
    for ident in (1, 2):
        world.read(ident, READ)
    return world


def test_a_share_of_calls_that_was_cut_and_given_back_is_usable_at_once():
    world = World(settings(dependency_concurrency_share=4.0, core_count=4))
    world.read(1, READ)
    world.call(1)
    assert world.at("out") == [1]
    world.back(1, Outcome.OK)
    world.change(dependency_concurrency_share=0.05)
    world.call(1)
    world.wait(20)
    if world.at("out"):
        world.back(1, Outcome.OK)  # and now a long rest would follow
    world.change(dependency_concurrency_share=4.0)
    for ident in (2, 3):
        world.read(ident, READ)
        world.call(ident)
    assert {2, 3} <= set(world.at("out"))


def test_a_reserve_is_left_free_by_others_and_a_most_of_running_holds():
    world = World(
        settings(core_count=4, traffic_classes=(READ, replace(PAY, reserved_slot_count=2), BOOK), max_concurrency=4)
    )
    for ident in range(1, 7):
        world.read(ident, READ)
    assert world.at("core") == [1, 2]
    for ident in (7, 8, 9):
        world.read(ident, world.told.traffic_classes[1])
    assert world.at("core") == [1, 2, 7, 8]
    world.end(7)
    assert world.at("core") == [1, 2, 8, 9]


def test_a_free_core_runs_what_is_read_and_a_full_server_holds_it():
    world = busy_world()
    assert world.at("core") == [1, 2]
    assert states(world.read(3, READ)) == []
    assert states(world.end(1)) == [(3, RequestState.RUNNING)]


def test_an_arrival_predicted_late_is_dismissed_at_once_and_cuts_the_weight_before_the_next():
    world = busy_world()
    ident = 3
    while not world.read(ident, READ).state_changes:
        ident += 1
    ident += 1
    assert states(world.last) == [(ident - 1, RequestState.REJECTED)] and world.last.state_changes[0].duration_ms > 0
    world.wait(100)
    assert world.said[0] == 0.8
    for held in world.at("core"):
        world.end(held)
    world.wait(400, busy=0.1)
    assert world.said[-1] > 0.8


def test_held_work_starts_by_credit_over_work_and_first_tries_first():
    world = World()
    for ident, grade, again in ((1, PAY, False), (2, PAY, False), (3, READ, True), (4, READ, False), (5, PAY, False)):
        world.read(ident, grade, is_retry=again)
    assert [states(world.end(ident))[0][0] for ident in (1, 2, 5)] == [5, 4, 3]


def test_work_worth_far_more_does_not_wait_for_all_that_runs():
    world = busy_world()
    assert states(world.read(3, READ)) == []
    assert states(world.read(4, PAY)) == [(4, RequestState.RUNNING)]
    assert states(world.read(5, PAY)) == []


def test_in_a_storm_of_further_tries_a_first_one_of_lower_credit_starts_first():
    world = World(settings(dependency_concurrency_share=0.0))
    for ident in range(1, 13):
        world.read(ident, PAY, is_retry=True)
        world.end(ident)
    for ident, grade, again in ((30, READ, False), (31, READ, False), (32, PAY, True), (33, READ, False)):
        world.read(ident, grade, is_retry=again)
    assert states(world.end(30)) == [(33, RequestState.RUNNING)]


def test_beyond_its_share_a_customer_is_not_held_and_others_go_ahead():
    world = World(settings(tenants=(Tenant("a", 1.0), Tenant("b", 50.0)), over_quota_value_fraction=0.1))
    for ident in range(1, 31):
        world.read(ident, READ, tenant="a")
        world.end(ident)
    for ident, name in ((40, "b"), (41, "b"), (43, "b")):
        world.read(ident, READ, tenant=name)
    assert states(world.read(44, READ, tenant="a")) == [(44, RequestState.REJECTED)]
    assert states(world.end(40)) == [(43, RequestState.RUNNING)]


def test_a_share_grows_with_what_a_quick_server_starts():
    world = World(settings(tenants=(Tenant("a", 1.0), Tenant("b", 1.0)), dependency_concurrency_share=0.0))
    for ident in range(1, 61):
        world.read(ident, READ, tenant="ab"[ident % 2])
        world.end(ident)
    for ident in (70, 71, 72):
        world.read(ident, READ, tenant="a")
    assert world.known[72].place == "held"


def test_a_quiet_server_runs_what_only_a_rough_hint_calls_hopeless():
    world = World()
    assert states(world.read(1, READ, cost_hint_ms=5000.0)) == [(1, RequestState.RUNNING)]


def test_what_was_learned_under_pressure_does_not_keep_an_idle_server_dismissing():
    world = World(settings(dependency_concurrency_share=0.0))
    for ident in range(1, 9):
        world.read(ident, READ)
        world.end(ident, took=1500.0)  # longer than the quoted time
    assert states(world.read(10, READ)) == [(10, RequestState.REJECTED)]
    world.wait(2100)  # nothing ran for as long as what is learned looks back
    assert states(world.read(11, READ)) == [(11, RequestState.RUNNING)]


def test_what_came_too_late_to_be_worth_anything_is_not_started_on_a_free_core():
    assert states(World().read(1, READ, unread=990.0)) == [(1, RequestState.REJECTED)]


def test_time_unread_cuts_the_weight_and_the_advice_covers_it():
    world = World()
    world.read(1, PAY, unread=450.0)
    assert world.last.state_changes[0].duration_ms > 450 / 80
    world.wait(100)
    assert world.said == [0.8]
    world.wait(500, busy=1.0)  # nothing is read and the cores are busy: not calm
    assert world.said == [0.8]


def test_cores_that_hang_send_new_work_on():
    world = busy_world(preemption=Preemption.NEVER)
    world.wait(800)
    assert states(world.read(3, READ)) == [(3, RequestState.REJECTED)]


def test_an_answer_due_is_given_while_its_run_goes_on_and_keeps_its_core():
    world = busy_world()
    world.read(3, PAY, wait=3000.0)
    world.wait(2995)
    assert world.known[1].answers == 1 and world.known[1].place == "core"
    assert states(world.end(1)) == []


def test_an_abandoned_run_is_stopped_where_it_can_be():
    world = busy_world(preemption=Preemption.DISCARD_PROGRESS)
    assert states(world.gone(1)) == [(1, RequestState.ORPHANED)]


def test_a_run_that_has_had_its_effect_is_forfeited_never_dismissed():
    world = World()
    world.read(1, PAY, wait=400.0)
    world.wait(400)  # the model fails on a dismissal
    assert world.known[1].answers == 1


def test_a_call_of_single_use_work_is_repeated_only_if_it_never_ran():
    world = World()
    world.read(1, PAY)
    assert states(world.call(1)) == [(1, RequestState.CALL_IN_FLIGHT)]
    world.back(1, Outcome.REJECTED)
    world.wait(100)
    assert world.at("out") == [1]
    assert states(world.back(1, Outcome.RESET)) == [(1, RequestState.FAILED)]


def test_a_call_that_cannot_be_in_time_is_left_out_where_that_earns_credit():
    world = World(settings(dependency_concurrency_share=0.0001))
    world.read(1, READ)
    assert states(world.call(1)) in ([], [(1, RequestState.DEGRADED)])
    world.wait(1000)
    assert world.known[1].answers == 0 and world.at("core") == [1]


def test_where_one_that_needs_its_call_stood_long_others_leave_theirs_to_it_for_a_while():
    world = World(settings(dependency_concurrency_share=8.0, core_count=8))
    world.read(1, PAY)
    assert states(world.call(1)) == [(1, RequestState.CALL_IN_FLIGHT)]
    world.wait(150)  # over a quarter of its quoted time
    world.back(1, Outcome.OK)
    world.read(2, READ)
    assert states(world.call(2)) == [(2, RequestState.DEGRADED)]
    world.read(3, PAY)
    assert states(world.call(3)) == [(3, RequestState.CALL_IN_FLIGHT)], "what needs its call still makes it"
    world.wait(100)
    world.back(3, Outcome.OK)
    world.wait(600)
    world.read(4, READ)
    assert states(world.call(4)) == [(4, RequestState.CALL_IN_FLIGHT)], "once that is over, all call again"


def test_what_stands_too_late_at_the_calls_gives_way_to_what_can_still_be_in_time():
    world = World(settings(dependency_concurrency_share=1.3, core_count=4))
    for ident, wait in ((1, 500.0), (2, 150.0), (3, 450.0)):
        world.read(ident, PAY, wait=wait)
        world.call(ident)
    assert world.at("out") == [1] and world.at("call") == [2, 3]
    world.wait(100)
    world.back(1, Outcome.OK)
    assert world.at("out") == [3]


def test_what_can_leave_its_call_out_starts_although_a_line_stands_at_the_calls():
    world = World(settings(dependency_concurrency_share=0.0001))
    for ident in (1, 2):
        world.read(ident, PAY)
        world.call(ident)
    assert world.at("call") == [1, 2]
    assert states(world.read(3, PAY)) == [] and states(world.read(4, READ)) == [(4, RequestState.RUNNING)]


def test_calls_given_up_count_until_they_have_left():
    world = World(settings(dependency_concurrency_share=1.3, core_count=4))
    for ident in (1, 2, 3):
        world.read(ident, READ, wait=500.0)
        world.call(ident)
    assert len(world.at("out")) == 1
    world.gone(world.at("out")[0])
    assert world.at("out") == []
    world.wait(250)
    assert len(world.at("out")) == 1


def calls_in_turn(world, idents, took):
    """Each is read, calls alone, and ends; how long each waited for its leave."""
    waited = []
    for ident in idents:
        world.read(ident, READ)
        begin = world.now
        world.call(ident)
        while ident not in world.at("out") and world.known[ident].place == "call":
            world.wait(5)
        waited.append(world.now - begin)
        if ident in world.at("out"):
            world.wait(took)
            world.back(ident, Outcome.OK)
        world.end(ident)
    return waited


def test_slow_calls_leave_fewer_out_at_once():
    world = World(settings(dependency_concurrency_share=8.0, core_count=8))
    calls_in_turn(world, range(1, 21), 20)  # quick calls show what is usual
    for ident in range(31, 39):
        world.read(ident, READ)
        world.call(ident)
    before = len(world.at("out"))
    world.wait(200)
    for ident in world.at("out"):
        world.back(ident, Outcome.OK)
        world.end(ident)
    for ident in range(41, 49):
        world.read(ident, READ)
        world.call(ident)
    assert len(world.at("out")) < before


def test_a_part_under_one_call_rests_between_slow_calls():
    world = World(settings(dependency_concurrency_share=0.6))
    calls_in_turn(world, range(1, 21), 20)
    assert max(calls_in_turn(world, range(31, 41), 80)[1:]) >= 100


def test_a_repeat_of_referenced_work_joins_its_forerunner_and_never_runs():
    world = World()
    world.read(1, BOOK)
    assert states(world.read(2, BOOK, original_request_id=1)) == [(2, RequestState.COALESCED)]
    world.end(1)
    assert states(world.read(3, BOOK, original_request_id=1)) == [(3, RequestState.COALESCED)]


def test_referenced_work_that_cannot_be_remembered_is_dismissed():
    assert states(World(settings(idempotency_record_kb=5000.0)).read(1, BOOK)) == [(1, RequestState.REJECTED)]


def test_memory_yields_held_work_of_least_credit():
    world = busy_world(memory_kb=400.0)
    for ident, grade, kb in ((3, READ, 100.0), (4, PAY, 50.0), (5, PAY, 180.0)):
        world.read(ident, grade, kb=kb)
    assert world.known[3].answers == 1 and world.known[4].answers == 0


@pytest.mark.parametrize("marks", (True, False))
def test_a_grade_that_a_crowd_would_leave_nothing_has_its_part_where_further_tries_are_marked(marks):
    low, high = (
        replace(READ, makes_calls=False, degraded_value_fraction=0.0),
        replace(PAY, makes_calls=False, priority_weight=30.0),
    )
    world = World(settings(traffic_classes=(low, high, BOOK), clients_mark_retries=marks))
    ran, ident = {low: 0, high: 0}, 0
    for step in range(400):  # of one grade as much as the cores can do, and half as much of the other
        for grade in (low, high, high):
            ident += 1
            world.read(ident, grade)
        for each in world.at("core"):
            ran[world.known[each].grade] += step >= 100
            world.end(each)
        world.wait(100.0)
    assert (0.3 < ran[low] / 300 < 1.0 and ran[high] / 600 > 0.4) if marks else ran[low] / 300 < 0.2


def test_a_drain_says_so_and_runs_nothing_that_came_past_the_grace():
    world = World()
    world.read(1, READ)
    result = world.drain(3000.0)
    assert result.advertised_weight is None and result.health is not None and not result.health.is_healthy
    world.wait(900)
    assert world.said == []  # until the grace is over its cores are worth having
    world.wait(105)
    assert world.said == [0.0]
    assert states(world.read(2, READ)) == [(2, RequestState.REJECTED)]
    assert world.last.state_changes[0].duration_ms == 999.0
    world.wait(1900)
    assert world.known[1].answers == 1


def test_the_weight_has_a_meaning_for_every_kind_of_caller():
    said = {}
    for meaning in LoadSignal:
        world = World(settings(load_signal=meaning, client_count=4))
        world.read(1, PAY, unread=450.0)
        world.wait(100)
        said[meaning] = world.said
    assert said == {
        LoadSignal.NONE: [],
        LoadSignal.SELECTION_PROBABILITY: [0.8],
        LoadSignal.CLIENT_CONCURRENCY: [0.8 * 2],
        LoadSignal.PRIORITY_THRESHOLD: [1 - 0.8],
    }


def idle_told(world, busy, connections, windows):
    """The idle times that are told in so many windows."""
    told = []
    for _ in range(windows):
        world.now += 100.0
        told.append(
            world.take(
                world.control.timer_fired(world.now, Gauges(cpu_utilization=busy, connection_count=connections))
            ).idle_connection_timeout_ms
        )
    return [each for each in told if each is not None]


def test_unused_connections_go_sooner_while_cores_idle_and_stay_longer_while_they_are_busy():
    world = World(settings(idle_connection_timeout_ms=8000.0, client_count=100))
    assert idle_told(world, busy=1.0, connections=50.0, windows=3) == []  # the callers' own time
    sooner = idle_told(world, busy=0.5, connections=50.0, windows=30)
    assert sooner == sorted(sooner, reverse=True) and sooner[0] < 8000.0 and 80.0 <= sooner[-1] <= 90.0
    assert idle_told(world, busy=0.5, connections=5.0, windows=5) == []  # few are open: nobody is turned back
    longer = idle_told(world, busy=1.0, connections=50.0, windows=60)
    assert longer == sorted(longer) and longer[-1] > 7000.0


def test_where_all_callers_find_a_place_unused_connections_stay():
    world = World(settings(idle_connection_timeout_ms=8000.0, client_count=12))
    assert idle_told(world, busy=0.1, connections=50.0, windows=10) == []


def test_news_of_transactions_already_ended_is_harmless():
    control = World().control
    for result in (
        control.call_requested(1.0, 99),
        control.client_disconnected(1.0, 99),
        control.run_ended(1.0, 99, Outcome.NOT_STARTED, 0.0),
        control.call_returned(1.0, 99, Outcome.OK, 0.0),
    ):
        assert states(result) == []


def test_grades_that_keep_most_credit_late_are_judged_by_their_abandon_time():
    late = READ.__class__("late", 1.0, 100.0, 5000.0, RetrySafety.IDEMPOTENT, late_value_fraction=0.8)
    world = World(settings(traffic_classes=(late,)))
    assert states(world.read(1, late, unread=500.0)) == [(1, RequestState.RUNNING)]


def test_many_that_wait_for_leave_to_call_cost_one_look_at_the_calls_that_are_out(monkeypatch):
    looks, room = [], DependencyUsage.max_call_duration_ms
    monkeypatch.setattr(
        DependencyUsage,
        "max_call_duration_ms",
        lambda self, now, *values: looks.append(now) or room(self, now, *values),
    )
    world = World(
        settings(core_count=40, memory_kb=1e6, dependency_concurrency_share=2.0, abandoned_call_linger_ms=1900.0)
    )
    for ident in range(30):
        world.read(ident, PAY)
    for ident in world.at("core"):
        world.call(ident)
    world.back(world.at("out")[0], Outcome.TIMEOUT)
    looks.clear()
    waiting = len(world.at("call"))
    world.now += 1
    world.call(world.at("core")[0]) if world.at("core") else world.take(world.control.timer_fired(world.now, Gauges()))
    assert waiting > 10 and len(looks) <= 1


def test_a_server_short_of_its_own_core_does_not_take_its_lag_for_a_slow_dependency():
    world = World(settings(core_count=8, memory_kb=1e6, dependency_concurrency_share=6.0))

    def call(ident, took, unread=0.0):
        world.read(ident, READ, unread=unread)
        world.call(ident)
        world.now += took
        world.back(ident, Outcome.OK)
        world.end(ident)
        return world.control._dependency_limit.limit

    assert all(call(ident, 1.0) == 5.1 for ident in range(1, 40))
    assert call(40, 9.0) == 5.1  # under a tick or two times tell nothing
    assert call(41, 90.0, unread=80.0) == 5.1  # what lay unread for so long is read late, replies too
    assert call(42, 90.0) < 5.1


def told_waits(world, usual, many):
    """So many have been read and have ended, all of which told the usual wait."""
    for ident in range(100, 100 + many):
        world.read(ident, READ, wait=usual)
        world.end(ident)


def test_a_wait_cut_short_by_its_clients_end_tells_that_a_try_is_too_old_to_wait():
    world = World()
    told_waits(world, usual=1500.0, many=30)
    for ident in (1, 2, 3):
        world.read(ident, READ, wait=1500.0)
    assert world.at("core") == [1, 2] and world.at("held") == [3]
    (change,) = world.read(4, READ, wait=1400.0).state_changes  # its first try came 1600 ms ago, quoted are 1000
    assert change == (4, RequestState.REJECTED, change.duration_ms, True)
    assert not world.read(5, READ, wait=1500.0).state_changes  # a usual wait tells nothing
    assert not world.read(6, READ, wait=2900.0).state_changes  # the first try came 100 ms ago


def test_an_old_try_is_run_where_a_core_is_free():
    world = World()
    told_waits(world, usual=1500.0, many=30)
    assert states(world.read(1, READ, wait=1400.0)) == [(1, RequestState.RUNNING)]


@pytest.mark.parametrize("usual", ([1500.0], [600.0, 1500.0, 2900.0]))
def test_waits_are_usual_while_few_are_known_and_where_several_habits_meet(usual):
    world = World()
    for ident in (1, 2):
        world.read(ident, READ, wait=3000.0)
    for ident, wait in enumerate(usual * 40, start=100):
        result = world.read(ident, READ, wait=wait)
        assert not any(change.retry_elsewhere_useless for change in result.state_changes)
        world.gone(ident)


def test_the_memory_of_waits_follows_a_new_habit():
    world = World()
    told_waits(world, usual=1500.0, many=1000)
    told_waits(world, usual=900.0, many=200)
    for ident in (1, 2, 3):
        world.read(ident, READ, wait=1500.0)
    assert not world.read(4, READ, wait=900.0).state_changes
