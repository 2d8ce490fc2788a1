"""Spare hosts that have joined before, so that the next join is short.

A join with weights that are only staged takes the model's warm time, and
one of the model that a host joined last a fraction of it. So each spare
joins a group of its own that is never opened.
"""

from figford import fleetmessages
from figford import formations
from figford import planrounds
from figford import routes

# Names of groups that only warm a spare up; no other group has them.
PREFIX = "warm-"


def is_warm_up(group: str) -> bool:
    """Returns whether a group is one that is never opened."""
    return group.startswith(PREFIX)


def warm(round_: planrounds.Round) -> None:
    """Has spares join for the weights that they hold staged."""
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        for item in round_.free(service):
            model = _model_to_warm(item, engine, round_)
            if model is not None:
                _order_warm_up(item, model, round_)


def _model_to_warm(
    item: fleetmessages.Registration,
    engine: routes.Engine,
    round_: planrounds.Round,
) -> routes.Model | None:
    member = round_.planner.member_by_name[item.upstream]
    if member.staging or member.warm_model in item.staged:
        return None
    if item.seat is not None and (
        item.seat.state is fleetmessages.SeatState.JOINING
    ):
        return None
    models = [engine.model(name) for name in item.staged]
    return next((model for model in models if model is not None), None)


def _order_warm_up(
    item: fleetmessages.Registration,
    model: routes.Model,
    round_: planrounds.Round,
) -> None:
    epoch = round_.planner.next_epoch()
    round_.send(
        item.upstream,
        formations.GroupOrder(
            upstream=item.upstream,
            incarnation=item.incarnation,
            address="",
            action=formations.Action.JOIN,
            fence=round_.planner.term,
            expected=None,
            group=f"{PREFIX}{epoch:x}",
            epoch=epoch,
            model=model.name,
            members=(item.upstream,),
        ),
    )
