"""The bound on the runs on the cores, at each way in which a run comes there."""

from nickelslip.admission.interface import Outcome
from nickelslip.admission.tracked_request import CoreEntry
from tests.support.admission_model import READ, AdmissionModel


def test_the_runs_on_the_cores_are_counted_by_the_way_in_which_they_came_there():
    model = AdmissionModel()
    model.receive_request(1, READ)
    model.request_call(1)
    model.return_call(1, Outcome.OK)
    model.receive_request(2, READ)
    occupancy = model.controller.core_occupancy(model.now_ms)
    assert occupancy.entries == {CoreEntry.RESUMED_WITH_REPLY: 1, CoreEntry.STARTED: 1}
    assert occupancy.on_core_count == 2 and not occupancy.is_crowded
