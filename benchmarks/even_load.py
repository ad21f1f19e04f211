"""Compares the two placements in the model of the deployments under load.

Each case runs with the same arrivals, once for each placement; time is
virtual. The processor time of a choice is measured for an entry node that
knows 144 instances of one service in four data centres.
"""

import dataclasses
import pathlib
import time
from typing import Any

from tests import load_model

from monsoonpass.core import events
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import placement

CASES = {
    "A": load_model.DEPLOYMENT_A,
    "A loaded": load_model.LOADED_A,
    "B": load_model.DEPLOYMENT_B,
    "B loaded": load_model.LOADED_B,
}
PLACEMENTS = {"old": False, "even": True}
INSTANCES = 144
CHOICES = 5000


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Run each case with both placements and return the results."""
    del folder
    names = [name.strip() for name in options["cases"].split(",")]
    seconds = float(options["seconds"])
    seed = int(options["seed"])
    result: dict[str, Any] = {
        "choice_us": {
            name: _measure_choice_us(even_load)
            for name, even_load in PLACEMENTS.items()
        }
    }
    for case in names:
        result[case] = {
            name: load_model.LoadMesh(
                CASES[case], seed=seed, even_load=even_load
            ).play(seconds)
            for name, even_load in PLACEMENTS.items()
        }
    return result


def _measure_choice_us(even_load: bool) -> float:
    """Return the processor time of a choice, with reports from all."""
    deployment = dataclasses.replace(
        load_model.DEPLOYMENT_A, upstreams={"front": INSTANCES, "back": 1}
    )
    mesh = load_model.LoadMesh(deployment, seed=1, even_load=even_load)
    state = next(iter(mesh.nodes.values())).state
    load = outcome.Load(slots=5, in_progress=3, queued=0, service_time_s=0.17)
    for name in mesh.nodes:
        state.routing.record_load(name, load, 0.0)
    begin_s = time.process_time()
    for number in range(CHOICES):
        event = events.Event(now_s=0.001 * number, random_bits=number)
        placement.choose(state, event, "front", set(), 0.6)
    return round((time.process_time() - begin_s) / CHOICES * 1e6, 1)
