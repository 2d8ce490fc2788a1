"""Selects the hosts that form groups of each model or become spares."""

import collections
import datetime
import typing

from figford import fleetmessages
from figford import formations
from figford import groupnames
from figford import planrounds
from figford import routes
from figford import warming

# Free hosts wait this long for hosts of their own fabric domain before they
# form a slower group with hosts of other domains.
CROSS_DOMAIN_WAIT = datetime.timedelta(seconds=1)
# Free hosts wait this long for others that have the same weights before some
# of them load other weights; a load takes longer than most repairs.
LOAD_WAIT = datetime.timedelta(seconds=8)
# Spares with staged weights in each domain: a group that lost a member
# replaces it with a spare in the time of a warm join.
SPARES_PER_DOMAIN = 1
# A group that spans domains serves at least this long before it is dissolved
# to form again within one domain.
CONSOLIDATION_WAIT = datetime.timedelta(seconds=2)
# A spare must be idle this long before it stages the weights of a model that
# lacks a group.
SPARE_CHANGE_WAIT = datetime.timedelta(seconds=2)
# A host without weights waits this long for other hosts of its domain that
# start at the same time, before it becomes a spare.
STAGE_WAIT = datetime.timedelta(milliseconds=500)
# A group of a model in surplus is dissolved, in favour of a model that lacks
# one, only when no group has changed for this long; repairs take much less.
REBALANCE_WAIT = datetime.timedelta(seconds=30)
# Stands for a share of 0 where instances are compared with shares: any group
# of such a model is a surplus.
MIN_SHARE = 1e-6


def instances_by_model(
    groups: typing.Iterable[formations.Formation], engine: routes.Engine
) -> dict[str, float]:
    """Returns how many instances the live groups of each model have.

    The instances of a group that spans domains count less, in proportion
    to its lower speed.
    """
    allocated = {model.name: 0.0 for model in engine.models}
    for formation in groups:
        model = engine.model(formation.model)
        if model is not None and formation.phase in (
            formations.Phase.FORMING,
            formations.Phase.OPENING,
            formations.Phase.SERVING,
        ):
            slowdown = (
                engine.cross_domain_factor if formation.spans_domains else 1.0
            )
            size = model.size if formation.size is None else formation.size
            allocated[model.name] += size / slowdown
    return allocated


def by_shortfall(
    allocated: dict[str, int], engine: routes.Engine
) -> list[routes.Model]:
    """Returns the models sorted by shortfall, the largest one first."""
    return sorted(
        engine.models,
        key=lambda model: (
            (allocated[model.name] + model.size) / max(model.share, MIN_SHARE),
            model.name,
        ),
    )


def form(round_: planrounds.Round) -> None:
    """Forms all groups for which there are enough free hosts."""
    for service in sorted(round_.view.engines):
        engine = round_.fillable_engine(service)
        while _form_one(service, engine, round_):
            pass


def consolidate_domains(round_: planrounds.Round) -> None:
    """Dissolves one cross-domain group that now fits in one domain.

    Its members join again in little time, and the new group is as fast as
    any other in one domain.
    """
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        groups = [
            formation
            for formation in round_.planner.formation_by_key.values()
            if formation.service == service
        ]
        if any(
            item.cause is formations.Cause.FITS_IN_ONE_DOMAIN
            and _is_dissolving(item)
            for item in groups
        ):
            continue
        ready = collections.Counter(
            (item.domain, name)
            for item in round_.free(service)
            for name in item.staged
        )
        for formation in groups:
            if _fits_in_one_domain(formation, engine, ready, round_):
                round_.planner.begin_dissolving(
                    formation, formations.Cause.FITS_IN_ONE_DOMAIN, round_
                )
                break


def _is_dissolving(formation: formations.Formation) -> bool:
    return formation.phase is formations.Phase.DISSOLVING


def _fits_in_one_domain(
    formation: formations.Formation,
    engine: routes.Engine,
    ready: collections.Counter[tuple[str, str]],
    round_: planrounds.Round,
) -> bool:
    """Returns whether spares can complete a group within one domain.

    At least half of the group must be in that domain already.
    """
    model = engine.model(formation.model)
    if model is None or not formation.spans_domains:
        return False
    if formation.phase is not formations.Phase.SERVING:
        return False
    if round_.now - formation.since < CONSOLIDATION_WAIT:
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
    allocated: dict[str, float], engine: routes.Engine
) -> routes.Model | None:
    """Returns a model above its share by a group; None if there is none.

    Returns None as well while no other model lacks a whole group.
    """
    total = sum(allocated.values())
    target = {model.name: model.share * total for model in engine.models}
    lacking = any(
        allocated[model.name] + model.size <= target[model.name]
        for model in engine.models
    )
    in_surplus = [
        model
        for model in engine.models
        if allocated[model.name] - model.size >= target[model.name]
    ]
    if not lacking or not in_surplus:
        return None
    return max(
        in_surplus,
        key=lambda model: allocated[model.name] / max(model.share, MIN_SHARE),
    )


def rebalance(round_: planrounds.Round) -> None:
    """Dissolves a group of a model in surplus, once no groups change."""
    if round_.now - round_.planner.changed_at < REBALANCE_WAIT:
        return
    for service in sorted(round_.view.engines):
        engine = round_.fillable_engine(service)
        groups = [
            formation
            for formation in round_.planner.formation_by_key.values()
            if formation.service == service and not formation.is_given_up
        ]
        allocated = instances_by_model(groups, engine)
        model = surplus_model(allocated, engine)
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
        lacking = by_shortfall(allocated, engine)[0].name
        for name in chosen.members.values():
            member = round_.planner.member_by_name.get(name)
            # A member may have ended while the head still serves.
            if member is not None:
                member.reserved_for = lacking
        round_.planner.begin_dissolving(
            chosen, formations.Cause.MODEL_IN_SURPLUS, round_
        )


def _form_one(
    service: str, engine: routes.Engine, round_: planrounds.Round
) -> bool:
    groups = [
        formation
        for formation in round_.planner.formation_by_key.values()
        if formation.service == service
    ]
    allocated = instances_by_model(groups, engine)
    free = round_.free(service)
    in_order = by_shortfall(allocated, engine)
    for model in in_order:
        members = choose_ready(
            model, round_.available_for(free, model), round_
        )
        loads = round_.loads_needed(members, model.name)
        if members and round_.may_load(engine, loads):
            _begin_forming(service, model, members, round_)
            return True
    if round_.loads_ordered and not round_.view.warming_up:
        # Loads that begin first take least, so groups load one by one.
        return False
    for model in in_order:
        members = choose_to_load(
            model,
            model is in_order[0],
            round_.available_for(free, model),
            round_,
        )
        if not members:
            continue
        loads = round_.loads_needed(members, model.name)
        if not round_.may_load(engine, loads):
            return False
        _begin_forming(service, model, members, round_)
        return True
    return False


def choose_ready(
    model: routes.Model,
    free: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> list[fleetmessages.Registration]:
    """Returns members that have the weights; none if there are too few.

    Hosts of one domain are preferred, then hosts of several domains that
    have waited long enough.
    """
    known = round_.planner.member_by_name
    staged = [item for item in free if model.name in item.staged]
    staged.sort(key=lambda item: known[item.upstream].warm_model != model.name)
    found = _in_one_domain(staged, model.size)
    if found:
        return found
    waited = [
        item
        for item in staged
        if round_.free_duration(item.upstream) >= CROSS_DOMAIN_WAIT
    ]
    waited.sort(
        key=lambda item: (
            not round_.planner.member_by_name[item.upstream].had_group,
            item.data_centre,
            item.domain,
        )
    )
    chosen = waited[: model.size]
    left_over = sum(
        round_.planner.member_by_name[item.upstream].had_group
        for item in chosen
    )
    # Spares are not used across domains unless at least half of the group
    # consists of remaining members of earlier groups.
    if len(chosen) < model.size or 2 * left_over < model.size:
        return []
    return chosen


def choose_to_load(
    model: routes.Model,
    largest_shortfall: bool,
    free: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> list[fleetmessages.Registration]:
    """Returns members of one domain, some of which must load the weights.

    Hosts without weights go to the model with the largest shortfall, and
    each domain keeps some of them as spares. Hosts with weights load others
    only after a long wait without a group, which is longer for models with
    a smaller shortfall.
    """
    if largest_shortfall:
        bare = [item for item in free if round_.is_bare(item)]
        found = _in_one_domain(bare, model.size, SPARES_PER_DOMAIN)
        if found:
            return found
    load_wait = LOAD_WAIT if largest_shortfall else 3 * LOAD_WAIT
    long_idle = [
        item
        for item in free
        if round_.free_duration(item.upstream) >= load_wait
    ]
    long_idle.sort(key=lambda item: model.name not in item.staged)
    # Remaining members of earlier groups may use up the domain's spares.
    members = (
        _in_one_domain(long_idle, model.size) if largest_shortfall else []
    )
    left_over = sum(
        round_.planner.member_by_name[item.upstream].had_group
        for item in members
    )
    if members and 2 * left_over >= model.size:
        return members
    return _in_one_domain(long_idle, model.size, SPARES_PER_DOMAIN)


def _in_one_domain(
    free: list[fleetmessages.Registration], size: int, keep_free: int = 0
) -> list[fleetmessages.Registration]:
    """Returns members from the domain with the fewest, but enough, free hosts.

    At least `keep_free` hosts of the domain stay free.
    """
    by_domain: dict[str, list[fleetmessages.Registration]] = {}
    for item in free:
        by_domain.setdefault(item.domain, []).append(item)
    fitting = [
        (len(items) - size, domain)
        for domain, items in by_domain.items()
        if len(items) >= size + keep_free
    ]
    if not fitting:
        return []
    return by_domain[min(fitting)[1]][:size]


def _begin_forming(
    service: str,
    model: routes.Model,
    members: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> None:
    epoch = round_.planner.next_epoch()
    loads = round_.loads_needed(members, model.name)
    formation = formations.Formation(
        group=groupnames.group_name(epoch, model.size),
        epoch=epoch,
        service=service,
        model=model.name,
        members=dict(enumerate(item.upstream for item in members)),
        incarnations=dict(enumerate(item.incarnation for item in members)),
        phase=formations.Phase.FORMING,
        since=round_.now,
        size=model.size,
        spans_domains=len({item.domain for item in members}) > 1,
        loads=loads,
        deadline=round_.now
        + (model.load_time * 2 if loads else model.warm_load_time * 2)
        + formations.FORMING_SLACK,
    )
    round_.planner.formation_by_key[(formation.group, epoch)] = formation
    round_.planner.changed_at = round_.now
    for item in members:
        member = round_.planner.member_by_name[item.upstream]
        member.had_group = True
        member.reserved_for = ""
    former = _describe_former_seats(formation, members, round_)
    round_.planner.notes.append(
        formations.Note(
            "forming",
            formation.group,
            epoch,
            f"model={model.name} loads={loads}"
            f" members={','.join(formation.members.values())}",
            fields=(("former", former),) if former else (),
        )
    )
    for rank in formation.members:
        round_.order(formation, rank, formations.Action.JOIN)


def _describe_former_seats(
    formation: formations.Formation,
    members: list[fleetmessages.Registration],
    round_: planrounds.Round,
) -> str:
    """Returns the seats in other groups that new members last reported.

    Each is given as upstream, group, epoch, state and the planner's phase.
    """
    found = []
    for item in members:
        seat = warming.former_seat(item, formation.group, formation.epoch)
        if seat is None:
            continue
        known = round_.planner.formation_by_key.get((seat.group, seat.epoch))
        phase = known.phase.value if known is not None else "unknown"
        found.append(
            f"{item.upstream}/{seat.group}/{seat.epoch}"
            f"/{seat.state.value}/{phase}"
        )
    return ",".join(found)


# ---- Staging weights on spare hosts -------------------------------------


def stage(round_: planrounds.Round) -> None:
    """Stages weights on spare hosts, so that a repair needs no load."""
    for service in sorted(round_.view.engines):
        engine = round_.fillable_engine(service)
        idle = round_.idle(service)
        for item in round_.free(service):
            model = _model_to_stage(item, idle, engine, round_)
            if model is None:
                model = _model_to_change_to(item, idle, engine, round_)
            if model is None:
                model = _model_without_spare(item, idle, engine, round_)
            if model is None:
                continue
            if not round_.may_load_spare(engine):
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


def _model_to_change_to(
    item: fleetmessages.Registration,
    idle: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> routes.Model | None:
    """Returns the model that a spare of another model should stage.

    Considers only a model that lacks a whole group, and only if at least
    half of a group's members are in the spare's domain: idle, in a slow
    group that spans domains, or in one that is dissolved for its size.
    """
    if not engine.models:
        return None
    groups = [
        formation
        for formation in round_.planner.formation_by_key.values()
        if formation.service == item.service
    ]
    allocated = instances_by_model(groups, engine)
    model = by_shortfall(allocated, engine)[0]
    known = round_.planner.member_by_name
    if model.name in item.staged or known[item.upstream].staging:
        return None
    if round_.free_duration(item.upstream) < SPARE_CHANGE_WAIT:
        return None
    if allocated[model.name] + model.size > model.share * sum(
        allocated.values()
    ):
        return None
    idle_in_domain = [other for other in idle if other.domain == item.domain]
    ready = sum(model.name in other.staged for other in idle_in_domain)
    staging_count = sum(
        known[other.upstream].staging == model.name for other in idle_in_domain
    )
    soon_free = sum(
        round_.view.fleet[name].domain == item.domain
        for formation in groups
        if formation.model == model.name and _is_soon_free(formation)
        for name in formation.members.values()
        if name in round_.view.fleet
    )
    available = ready + soon_free
    if 2 * available < model.size or available + staging_count >= model.size:
        return None
    return model


def _is_soon_free(formation: formations.Formation) -> bool:
    """Returns whether the members of a group can soon form another one."""
    if _is_dissolving(formation):
        return formation.cause is formations.Cause.SIZE_CHANGED
    return (
        formation.spans_domains and formation.phase is formations.Phase.SERVING
    )


def _model_without_spare(
    item: fleetmessages.Registration,
    idle: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> routes.Model | None:
    """Returns the model that a spare should change to in a domain without.

    The last spare of a domain is for the model whose groups strand the most
    instances when a member is lost; the next loss would make its group span
    domains.
    """
    known = round_.planner.member_by_name
    model = max(engine.models, key=_stranded, default=None)
    if model is None or model.name in item.staged:
        return None
    if known[item.upstream].staging or known[item.upstream].had_group:
        return None
    if round_.free_duration(item.upstream) < SPARE_CHANGE_WAIT:
        return None
    if not round_.members_by_model(item.domain)[model.name]:
        return None
    has_spare = any(
        model.name in other.staged
        or known[other.upstream].staging == model.name
        for other in idle
        if other.domain == item.domain
    )
    return None if has_spare else model


def _stranded(model: routes.Model) -> float:
    """Returns the instances that a lost member strands, by share."""
    return model.share * (model.size - 1)


def _stage_wait(
    idle_in_domain: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> datetime.timedelta:
    """Returns how long a host without weights waits for a group.

    If a domain has enough of them for a group and a spare, the group takes
    precedence: it only waits for the weight store.
    """
    bare = sum(
        round_.is_bare(other)
        and not round_.planner.member_by_name[other.upstream].staging
        for other in idle_in_domain
    )
    smallest_size = min((model.size for model in engine.models), default=0)
    if bare >= smallest_size + SPARES_PER_DOMAIN:
        return LOAD_WAIT
    return STAGE_WAIT


def _model_to_stage(
    item: fleetmessages.Registration,
    idle: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: planrounds.Round,
) -> routes.Model | None:
    """Returns the model that a host without weights should stage.

    Prefers the model that needs the fewest hosts to complete a group with
    members that earlier groups left in the domain; then one that has groups
    in the domain but no spare there; then the one whose groups strand the
    most instances when a member is lost.
    """
    if not round_.is_bare(item):
        return None
    if round_.planner.member_by_name[item.upstream].staging:
        return None
    idle_in_domain = [other for other in idle if other.domain == item.domain]
    if round_.free_duration(item.upstream) < _stage_wait(
        idle_in_domain, engine, round_
    ):
        return None
    members_by_model = round_.members_by_model(item.domain)

    def sort_key(model: routes.Model) -> tuple[bool, int, bool, float, str]:
        ready = [
            other
            for other in idle_in_domain
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

    return min(engine.models, key=sort_key, default=None)
