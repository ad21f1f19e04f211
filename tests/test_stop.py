"""Tests of a planned stop during which the node still serves callers."""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import reducer
from monsoonpass.core.membership import member as member_lib
from tests import fake_mesh
from tests import test_own_upstream

UpstreamState = member_lib.UpstreamState


def make_scene() -> test_own_upstream.Scene:
    """Return a node with an upstream whose planned stop lasts three seconds."""
    scene = test_own_upstream.Scene(stop_after_s=3.0, drain_limit_s=5.0)
    scene.announce()
    catalog = fake_mesh.make_catalog(1, "shop")
    scene.mesh.submitted_catalogs[(1, catalog.digest)] = catalog
    scene.state.config.catalog = catalog
    scene.state.config.ready = True
    return scene


def call(scene, number: int) -> list[effects.Effect]:
    """Let a call arrive and return the effects."""
    event = events.CallArrived(
        now_s=scene.mesh.now_s,
        random_bits=number,
        call_id=number,
        host="shop",
        method="GET",
        path="/",
        timeout_s=None,
        key=None,
    )
    return reducer.step(event, scene.state)


def stopped(scene) -> bool:
    """Return whether the planned stop is complete."""
    return any(
        isinstance(e, effects.StopCompleted)
        for e in scene.node.performed_effects
    )


class TestPlannedStop:
    def test_callers_are_served_during_a_planned_stop(self):
        """Guard: `not state.settings.stop_after_s` in call_events."""
        scene = make_scene()
        scene.node.feed(events.StopRequested)
        scene.mesh.run(1.0)
        call_effects = call(scene, 100)
        assert any(isinstance(e, effects.Dispatch) for e in call_effects)

    def test_upstream_is_published_as_draining_shortly_before_the_end(self):
        """Guard: the delay of `PublishDraining` in the reducer."""
        scene = make_scene()
        scene.node.feed(events.StopRequested)
        scene.mesh.run(1.0)
        assert scene.state.membership.own_record.upstream is UpstreamState.READY
        scene.mesh.run(1.5)
        assert (
            scene.state.membership.own_record.upstream is UpstreamState.DRAINING
        )
        assert not stopped(scene)
        scene.mesh.run(1.0)
        assert stopped(scene)

    def test_call_in_progress_delays_the_stop_up_to_its_limit(self):
        scene = make_scene()
        call(scene, 100)
        scene.node.feed(events.StopRequested)
        scene.mesh.run(4.0)
        assert not stopped(scene)
        scene.mesh.run(1.5)
        assert stopped(scene)
