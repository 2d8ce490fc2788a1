"""Which hosts form groups of which model, and which are kept as spares."""

import collections
import datetime
import typing

from figford import fleetmessages
from figford import formations
from figford import planrounds
from figford import routes

# Members wait this long for a neighbour in their fabric domain before they
# make a slower group with members of other domains.
FAR_PATIENCE = datetime.timedelta(seconds=1)
# Members wait this long for others that have the same weights, before some
# of them load other weights; a load takes longer than most repairs.
LOAD_PATIENCE = datetime.timedelta(seconds=8)
# Hosts of each domain that are kept ready with weights: a group that lost a
# member goes on with one within a warm join.
SPARES_PER_DOMAIN = 1
# A group across domains serves this long before it is formed anew.
NEAR_PATIENCE = datetime.timedelta(seconds=2)
CAN_BE_NEAR = "fits in one domain"
# A spare is idle this long before it changes to weights that lack.
CHANGE_PATIENCE = datetime.timedelta(seconds=2)
# A host without weights waits this long for neighbours that start with it,
# before it becomes a spare.
STAGE_PATIENCE = datetime.timedelta(milliseconds=500)
# Groups in surplus are given up for a lacking model only when nothing has
# changed this long, far beyond any repair.
REBALANCE_PATIENCE = datetime.timedelta(seconds=30)


def instances_by_model(
    groups: typing.Iterable[formations.Formation], engine: routes.Engine
) -> dict[str, float]:
    """Returns how many instances live groups of each model hold.

    Those of a group that spans domains count less, by how slow it is.
    """
    held = {model.name: 0.0 for model in engine.models}
    for formation in groups:
        model = engine.model(formation.model)
        if model is not None and formation.phase in (
            formations.Phase.FORMING,
            formations.Phase.OPENING,
            formations.Phase.SERVING,
        ):
            slower = engine.cross_domain_factor if formation.far else 1.0
            held[model.name] += model.size / slower
    return held


def by_need(held: dict[str, int], engine: routes.Engine) -> list[routes.Model]:
    """Returns the models, the one furthest below its share first."""
    return sorted(
        engine.models,
        key=lambda model: (
            (held[model.name] + model.size) / max(model.share, 1e-6),
            model.name,
        ),
    )


def form(round_: planrounds.Round) -> None:
    """Begins all groups that free hosts make up now."""
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        while _form_one(service, engine, round_):
            pass


def bring_near(round_: planrounds.Round) -> None:
    """Takes one group across domains apart that fits in one by now.

    Its members join again in a moment, and it is as fast as others then.
    """
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        groups = [
            formation
            for formation in round_.planner.by_key.values()
            if formation.service == service
        ]
        if any(item.why == CAN_BE_NEAR and _leaves(item) for item in groups):
            continue
        ready = collections.Counter(
            (item.domain, name)
            for item in round_.free(service)
            for name in item.staged
        )
        for formation in groups:
            if _fits_in_one_domain(formation, engine, ready, round_):
                round_.planner.give_up(formation, CAN_BE_NEAR, round_)
                break


def _leaves(formation: formations.Formation) -> bool:
    return formation.phase is formations.Phase.DISSOLVING


def _fits_in_one_domain(
    formation: formations.Formation,
    engine: routes.Engine,
    ready: collections.Counter[tuple[str, str]],
    round_: planrounds.Round,
) -> bool:
    """Returns whether spares complete most of a group in their domain."""
    model = engine.model(formation.model)
    if model is None or not formation.far:
        return False
    if formation.phase is not formations.Phase.SERVING:
        return False
    if round_.now - formation.since < NEAR_PATIENCE:
        return False
    members = collections.Counter(
        round_.view.fleet[name].domain
        for name in formation.members.values()
        if name in round_.view.fleet and name not in round_.view.silent
    )
    return any(
        2 * count >= model.size
        and count + ready[(domain, model.name)] >= model.size
        for domain, count in members.items()
    )


def surplus_model(
    held: dict[str, float], engine: routes.Engine
) -> routes.Model | None:
    """Returns a model above its share while another lacks a whole group."""
    total = sum(held.values())
    target = {model.name: model.share * total for model in engine.models}
    lacking = any(
        held[model.name] + model.size <= target[model.name]
        for model in engine.models
    )
    over = [
        model
        for model in engine.models
        if held[model.name] - model.size >= target[model.name]
    ]
    if not lacking or not over:
        return None
    return max(over, key=lambda model: held[model.name] / model.share)


def rebalance(round_: planrounds.Round) -> None:
    """Takes a group of a model in surplus apart, once all is quiet."""
    if round_.now - round_.planner.changed_at < REBALANCE_PATIENCE:
        return
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        groups = [
            formation
            for formation in round_.planner.by_key.values()
            if formation.service == service
            and formation.phase is not formations.Phase.FREED
        ]
        held = instances_by_model(groups, engine)
        model = surplus_model(held, engine)
        if model is None:
            continue
        free = collections.Counter(
            item.domain for item in round_.free(service)
        )
        chosen = max(
            (
                item
                for item in groups
                if item.model == model.name and item.head in round_.view.fleet
            ),
            key=lambda item: (
                free[round_.view.fleet[item.head].domain],
                item.epoch,
            ),
            default=None,
        )
        if chosen is None:
            continue
        lacking = by_need(held, engine)[0].name
        for name in chosen.members.values():
            round_.planner.member_by_name[name].meant_for = lacking
        round_.planner.give_up(chosen, "in surplus", round_)


def _form_one(
    service: str, engine: routes.Engine, round_: planrounds.Round
) -> bool:
    groups = [
        formation
        for formation in round_.planner.by_key.values()
        if formation.service == service
    ]
    held = instances_by_model(groups, engine)
    free = round_.free(service)
    in_order = by_need(held, engine)
    for model in in_order:
        members = choose_ready(model, round_.meant(free, model), round_)
        if members:
            _begin(service, model, members, round_)
            return True
    for model in in_order:
        members = choose_to_load(
            model, model is in_order[0], round_.meant(free, model), round_
        )
        if not round_.planner.may_load(engine, len(members), round_):
            return False
        if members:
            _begin(service, model, members, round_)
            return True
    return False


def choose_ready(
    model: routes.Model,
    free: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> list[fleetmessages.Registration]:
    """Returns members that have the weights, or none if there are too few.

    Those of one domain come first; then hosts of several domains that
    waited long enough.
    """
    known = round_.planner.member_by_name
    staged = [item for item in free if model.name in item.staged]
    staged.sort(key=lambda item: known[item.upstream].warm != model.name)
    found = _in_one_domain(staged, model.size)
    if found:
        return found
    patient = [
        item
        for item in staged
        if round_.free_for(item.upstream) >= FAR_PATIENCE
    ]
    patient.sort(
        key=lambda item: (
            not round_.planner.member_by_name[item.upstream].had_group,
            item.data_centre,
            item.domain,
        )
    )
    chosen = patient[: model.size]
    left_over = sum(
        round_.planner.member_by_name[item.upstream].had_group
        for item in chosen
    )
    # Spares stay with their domains, unless they help what is left over.
    if len(chosen) < model.size or 2 * left_over < model.size:
        return []
    return chosen


def choose_to_load(
    model: routes.Model,
    neediest: bool,
    free: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> list[fleetmessages.Registration]:
    """Returns members of one domain of which some must load the weights.

    Bare hosts serve the neediest model; some of each domain are left as
    spares. Others load only when they waited in vain for long, and longer
    for a model that others lack less than.
    """
    if neediest:
        bare = [item for item in free if not item.staged]
        found = _in_one_domain(bare, model.size, SPARES_PER_DOMAIN)
        if found:
            return found
    patience = LOAD_PATIENCE if neediest else 3 * LOAD_PATIENCE
    stranded = [
        item for item in free if round_.free_for(item.upstream) >= patience
    ]
    stranded.sort(key=lambda item: model.name not in item.staged)
    # What was left over of a group may take the domain's spares along.
    rest = _in_one_domain(stranded, model.size) if neediest else []
    left_over = sum(
        round_.planner.member_by_name[item.upstream].had_group for item in rest
    )
    if rest and 2 * left_over >= model.size:
        return rest
    return _in_one_domain(stranded, model.size, SPARES_PER_DOMAIN)


def _in_one_domain(
    free: list[fleetmessages.Registration], size: int, left: int = 0
) -> list[fleetmessages.Registration]:
    """Returns members of the domain that has the fewest to spare.

    At least `left` hosts of the domain stay free.
    """
    by_domain: dict[str, list[fleetmessages.Registration]] = {}
    for item in free:
        by_domain.setdefault(item.domain, []).append(item)
    fitting = [
        (len(items) - size, domain)
        for domain, items in by_domain.items()
        if len(items) >= size + left
    ]
    if not fitting:
        return []
    return by_domain[min(fitting)[1]][:size]


def _begin(
    service: str,
    model: routes.Model,
    members: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> None:
    epoch = round_.planner.next_epoch()
    loads = sum(model.name not in item.staged for item in members)
    formation = formations.Formation(
        group=f"g{epoch:x}",
        epoch=epoch,
        service=service,
        model=model.name,
        members=dict(enumerate(item.upstream for item in members)),
        incarnations=dict(enumerate(item.incarnation for item in members)),
        phase=formations.Phase.FORMING,
        since=round_.now,
        far=len({item.domain for item in members}) > 1,
        loads=loads,
        deadline=round_.now
        + (model.load * 2 if loads else model.warm * 2)
        + formations.FORMING_SLACK,
    )
    round_.planner.by_key[(formation.group, epoch)] = formation
    round_.planner.changed_at = round_.now
    for item in members:
        member = round_.planner.member_by_name[item.upstream]
        member.had_group = True
        member.meant_for = ""
    round_.planner.loaded(loads, round_.now)
    round_.planner.notes.append(
        formations.Note(
            "forming",
            formation.group,
            epoch,
            f"model={model.name} loads={loads}"
            f" members={','.join(formation.members.values())}",
        )
    )
    for rank in formation.members:
        round_.order(formation, rank, formations.Action.JOIN)


# ---- Staging weights on spare hosts -------------------------------------


def stage(round_: planrounds.Round) -> None:
    """Loads weights onto spare hosts, so that a repair needs no load."""
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        idle = round_.idle(service)
        for item in round_.free(service):
            model = _model_to_stage(item, idle, engine, round_)
            if model is None:
                model = _model_to_change_to(item, service, idle, round_)
            if model is None:
                continue
            if not round_.planner.may_load(engine, 1, round_):
                return
            _order_stage(item, model, round_)


def _order_stage(
    item: fleetmessages.Registration,
    model: routes.Model,
    round_: planrounds.Round,
) -> None:
    sent = round_.send(
        item.upstream,
        formations.GroupOrder(
            upstream=item.upstream,
            incarnation=item.incarnation,
            address="",
            action=formations.Action.STAGE,
            fence=round_.planner.term,
            expected=None,
            model=model.name,
        ),
    )
    if sent:
        member = round_.planner.member_by_name[item.upstream]
        member.staging = model.name
        round_.planner.loaded(1, round_.now)


def _model_to_change_to(
    item: fleetmessages.Registration,
    service: str,
    idle: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> routes.Model | None:
    """Returns the model that a spare of another one should be ready for.

    Only a model that lacks a whole group counts, and only where most of one
    is left in the spare's domain, idle or in a slow group across domains.
    """
    engine = round_.view.engines[service]
    groups = [
        formation
        for formation in round_.planner.by_key.values()
        if formation.service == service
    ]
    held = instances_by_model(groups, engine)
    model = by_need(held, engine)[0]
    known = round_.planner.member_by_name
    if model.name in item.staged or known[item.upstream].staging:
        return None
    if round_.free_for(item.upstream) < CHANGE_PATIENCE:
        return None
    if held[model.name] + model.size > model.share * sum(held.values()):
        return None
    beside = [other for other in idle if other.domain == item.domain]
    ready = sum(model.name in other.staged for other in beside)
    coming = sum(
        known[other.upstream].staging == model.name for other in beside
    )
    slow = sum(
        round_.view.fleet[name].domain == item.domain
        for formation in groups
        if formation.far
        and formation.model == model.name
        and formation.phase is formations.Phase.SERVING
        for name in formation.members.values()
        if name in round_.view.fleet
    )
    left = ready + slow
    if 2 * left < model.size or left + coming >= model.size:
        return None
    return model


def _patience_to_stage(
    beside: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> datetime.timedelta:
    """Returns how long a bare host waits to be given a group.

    Where enough of them are left in a domain for a group and a spare, the
    group comes first: it only waits for the weight store.
    """
    bare = sum(
        not other.staged
        and not round_.planner.member_by_name[other.upstream].staging
        for other in beside
    )
    least = min((model.size for model in engine.models), default=0)
    if bare >= least + SPARES_PER_DOMAIN:
        return LOAD_PATIENCE
    return STAGE_PATIENCE


def _model_to_stage(
    item: fleetmessages.Registration,
    idle: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> routes.Model | None:
    """Returns the model that a bare host should be ready for.

    That is the one whose left-over members in its domain it completes
    soonest; else one that has groups in the domain and no spare there;
    else the one whose groups strand most instances.
    """
    if item.staged or round_.planner.member_by_name[item.upstream].staging:
        return None
    beside = [other for other in idle if other.domain == item.domain]
    if round_.free_for(item.upstream) < _patience_to_stage(
        beside, engine, round_
    ):
        return None
    members_by_model = round_.members_by_model(item.domain)

    def rank(model: routes.Model) -> tuple[bool, int, bool, float, str]:
        ready = [
            other
            for other in beside
            if model.name in other.staged
            or round_.planner.member_by_name[other.upstream].staging
            == model.name
        ]
        left_over = [
            other
            for other in ready
            if round_.planner.member_by_name[other.upstream].had_group
        ]
        members = members_by_model[model.name]
        return (
            not left_over,
            model.size - len(left_over) if left_over else 0,
            bool(ready) or not members,
            -model.share * (model.size - 1),
            model.name,
        )

    return min(engine.models, key=rank, default=None)
