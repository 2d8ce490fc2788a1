"""Which models need more instances than the fleet has."""

import collections
import datetime
import typing

import attrs

from figford import fleetmessages
from figford import routes

# Hosts that start at the same time report one after the other, so a model is
# left out of planning only after this long.
SHORTAGE_WAIT = datetime.timedelta(seconds=8)


@attrs.define
class ShortageTable:
    """Since when the fleet has been too small for one group of a model."""

    # By service, model and size.
    _since: dict[tuple[str, str, int], datetime.timedelta] = attrs.field(
        factory=dict
    )

    def clear(self) -> None:
        """Forgets all shortages."""
        self._since.clear()

    def update(
        self,
        fleet: typing.Iterable[fleetmessages.Registration],
        engines: typing.Mapping[str, routes.Engine],
        now: datetime.timedelta,
    ) -> None:
        """Compares the models with the instances that are not leaving."""
        count = collections.Counter(
            item.service for item in fleet if not item.leaving
        )
        short = [
            (service, model.name, model.size)
            for service, engine in engines.items()
            for model in engine.models
            if count[service] < model.size
        ]
        self._since = {key: self._since.get(key, now) for key in short}

    def fillable(
        self, service: str, engine: routes.Engine, now: datetime.timedelta
    ) -> routes.Engine:
        """Returns the engine settings without models that are long short."""
        models = tuple(
            model
            for model in engine.models
            if now - self._since.get((service, model.name, model.size), now)
            < SHORTAGE_WAIT
        )
        if len(models) == len(engine.models):
            return engine
        return attrs.evolve(engine, models=models)
