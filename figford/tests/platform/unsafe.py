"""Runs the platform's programs with one safety mechanism disabled.

The fault soak must find the violation that follows.
"""

import datetime
import os
import sys

import attrs

from figford import controllerdaemon
from figford import crashes
from figford import crashguard
from figford import groupnames
from figford import permits
from figford import planrounds
from figford.platform import controlpages
from figford.platform import manifest
from figford.platform import program
from figford import routes
from figford import sharedbudget

MECHANISM_VARIABLE = "FIGFORD_TEST_WITHOUT"
# The version that a soak submits before its faults begin.
FIRST_VERSION = 3


def retry_all_calls() -> None:
    """Makes entries retry failed calls even if they may have run."""
    routes.Route.repeatable = property(lambda self: True)


def acknowledge_at_once() -> None:
    """Acknowledges versions after the first without committing them."""
    store = controllerdaemon.ControllerDaemon.store

    def acknowledge(
        daemon: controllerdaemon.ControllerDaemon,
        version: int,
        packed: bytes,
        reply: controlpages.Reply,
    ) -> None:
        if version <= FIRST_VERSION:
            store(daemon, version, packed, reply)
        else:
            reply(None, b"")

    controllerdaemon.ControllerDaemon.store = acknowledge


def ignore_limits() -> None:
    """Lets entries send to limited upstreams without permits."""
    permits.Permits.limited = lambda self, upstream, incarnation: False


def refuse_no_crashing_requests() -> None:
    """Lets entries send requests with convicted traits."""
    crashguard.CrashGuard.convicted_trait = lambda self, suspect_of: None


def tell_callers_not_apart() -> None:
    """Lets answers to other accounts clear a request."""
    digest = crashes.request_digest
    crashes.request_digest = lambda identity: digest(
        attrs.evolve(identity, caller="")
    )


def give_new_processes_the_reserve() -> None:
    """Lets each process begin with its part of the reserve."""
    set_entries = sharedbudget.SharedBudget.set_entries

    def set_and_fill(
        budget: sharedbudget.SharedBudget,
        entries: int | None,
        now: datetime.timedelta,
    ) -> None:
        was_known = budget.entries is not None
        set_entries(budget, entries, now)
        if entries is not None and not was_known:
            budget._reserve = budget.settings.reserve / entries

    sharedbudget.SharedBudget.set_entries = set_and_fill


def accept_two_spellings_of_a_host() -> None:
    """Accepts new manifests by the rules for stored ones."""
    read = manifest.read
    manifest.read = lambda document, stored=False: read(document, True)


def keep_groups_of_former_sizes() -> None:
    """Lets groups serve on after the size of their model changed."""
    groupnames.group_size = lambda group: None
    planrounds.Round.outdated_cause = lambda self, formation: None


DISABLE_BY_MECHANISM = {
    "callers-apart": tell_callers_not_apart,
    "hosts-compared": accept_two_spellings_of_a_host,
    "limits": ignore_limits,
    "retries-accrue": give_new_processes_the_reserve,
    "run-once": retry_all_calls,
    "sizes": keep_groups_of_former_sizes,
    "stored-first": acknowledge_at_once,
    "verdicts": refuse_no_crashing_requests,
}


if __name__ == "__main__":
    DISABLE_BY_MECHANISM[os.environ[MECHANISM_VARIABLE]]()
    sys.exit(program.main(sys.argv[1:]))
