"""What many send together to something cold: the measure of it, and that the measure sees a breach."""

from math import sqrt

import pytest

from benchmarks.cold_sums import written_requests_excess
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.machine_model import Machine, MachineProfile
from nickelslip.emulator.service_model import Service, ServiceProfile
from nickelslip.emulator.time_weighted_mean import excess

KIND = MachineProfile(
    cores=2, initial_speed_fraction=0.25, warm_up_ms=5000.0, overload_per_core=8.0, overload_window_ms=1000.0
)


@pytest.mark.parametrize("budget", (0.0, 1.0, 18.0, 400.0))
def test_an_excess_of_one_is_twice_the_root_of_the_budget_and_two_more(budget):
    assert excess(budget, budget) == 0
    assert excess(budget + 2 * sqrt(budget) + 2, budget) == pytest.approx(1)


def asked(many: int) -> float:
    """What so many transactions, written in one instant a second after the start, come to."""
    history = History()
    history.add(Kind.STARTED, "n1", at_ms=0.0)
    for number in range(many):
        history.add(Kind.REQUEST_WRITTEN, "n1", f"{number}", ["read", "", 0.0], 1000.0)
    return written_requests_excess(history, KIND, 100.0)


def test_what_balancers_write_to_one_cold_server_is_held_against_what_it_can_take_then():
    warm = 0.25 + 0.75 * 1.5 / 5  # in the middle of the time that is looked at
    budget = 2 * warm * 10 + 2 * (1 + 7 * warm)
    assert asked(int(budget)) <= 0 < asked(int(budget) + 1)
    assert asked(int(budget + 2 * sqrt(budget) + 3)) > 1


def test_what_is_on_a_cold_machine_and_in_the_hands_of_a_service_is_held_against_what_they_survive():
    machine = Machine(KIND, 0.0)
    for number in range(7):  # it survives five and a half
        machine.start(0.0, number, 1e6)
    machine.take_finished(900.0)
    assert (
        machine.worst_excess == pytest.approx(excess(7 * 0.9, 2 * (1 + 7 * (0.25 + 0.75 * 0.9 / 5))))
        and not machine.has_fallen
    )
    service = Service(ServiceProfile(slots=4, survivable_in_flight=4.0, window_ms=1000.0), 0.0)
    for number in range(20):
        service.begin_call(0.0, number, 1e6)
    service.take_finished(150.0)
    assert service.worst_excess < 0
    service.take_finished(900.0)
    assert service.worst_excess > 1
