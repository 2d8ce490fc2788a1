"""Warms up spare hosts, so that their next join takes less time.

A join with weights that are only staged takes the model's warm load time; a
join of the model that the host joined last takes a fraction of it. Each spare
therefore joins a group of its own that is never opened.
"""

from figford import fleetmessages
from figford import formations
from figford import groupnames
from figford import planrounds
from figford import routes


def former_seat(
    registration: fleetmessages.Registration, group: str, epoch: int
) -> fleetmessages.FleetSeat | None:
    """Returns the seat in another group that an upstream last reported.

    Returns None if that is a warm-up group.
    """
    seat = registration.seat
    if seat is None or groupnames.is_warm_up(seat.group):
        return None
    return None if (seat.group, seat.epoch) == (group, epoch) else seat


def warm(round_: planrounds.Round) -> None:
    """Orders spares to join warm-up groups of a model they have staged."""
    for service in sorted(round_.view.engines):
        engine = round_.fillable_engine(service)
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
            group=groupnames.warm_up_name(epoch),
            epoch=epoch,
            model=model.name,
            members=(item.upstream,),
        ),
    )
