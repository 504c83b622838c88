"""The measures of the combined load on cold servers, machines and services detect an excess."""

from math import sqrt

import pytest

from benchmarks.cold_sums import written_requests_excess
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.machine_model import Machine, MachineProfile
from nickelslip.emulator.service_model import Service, ServiceProfile
from nickelslip.emulator.time_weighted_mean import excess

PROFILE = MachineProfile(
    cores=2, initial_speed_fraction=0.25, warm_up_ms=5000.0, overload_per_core=8.0, overload_window_ms=1000.0
)


@pytest.mark.parametrize("budget", (0.0, 1.0, 18.0, 400.0))
def test_excess_of_one_is_twice_the_root_of_the_budget_plus_two(budget):
    assert excess(budget, budget) == 0
    assert excess(budget + 2 * sqrt(budget) + 2, budget) == pytest.approx(1)


def written_excess(count: int) -> float:
    """Return the excess of `count` requests that are written simultaneously, one second after the start."""
    history = History()
    history.add(Kind.STARTED, "n1", at_ms=0.0)
    for number in range(count):
        history.add(Kind.REQUEST_WRITTEN, "n1", f"{number}", ["read", "", 0.0], 1000.0)
    return written_requests_excess(history, PROFILE, 100.0)


def test_requests_written_to_a_cold_server_are_compared_with_its_current_capacity():
    warm = 0.25 + 0.75 * 1.5 / 5  # in the middle of the overload window
    budget = 2 * warm * 10 + 2 * (1 + 7 * warm)
    assert written_excess(int(budget)) <= 0 < written_excess(int(budget) + 1)
    assert written_excess(int(budget + 2 * sqrt(budget) + 3)) > 1


def test_concurrency_of_cold_machine_and_service_is_compared_with_what_they_survive():
    machine = Machine(PROFILE, 0.0)
    for number in range(7):  # it survives 5.5
        machine.start(0.0, number, 1e6)
    machine.take_finished(900.0)
    assert (
        machine.worst_excess == pytest.approx(excess(7 * 0.9, 2 * (1 + 7 * (0.25 + 0.75 * 0.9 / 5))))
        and not machine.has_failed
    )
    service = Service(ServiceProfile(slots=4, survivable_in_flight=4.0, window_ms=1000.0), 0.0)
    for number in range(20):
        service.begin_call(0.0, number, 1e6)
    service.take_finished(150.0)
    assert service.worst_excess < 0
    service.take_finished(900.0)
    assert service.worst_excess > 1
