"""The configuration in force at one entry; its version only rises."""

import collections
import datetime

import attrs

from figford import messages

# Past versions kept as deltas for entries that are behind.
MAX_DELTAS = 500
PULL_TIMEOUT = datetime.timedelta(seconds=1)


def diff_documents(old: dict, new: dict) -> dict:
    """Returns the items per section that differ; None marks a removal.

    >>> diff_documents({"a": {"x": 1, "y": 2}}, {"a": {"x": 1, "z": 3}})
    {'a': {'y': None, 'z': 3}}
    """
    changes = {}
    for section in sorted(set(old) | set(new)):
        before = old.get(section, {})
        after = new.get(section, {})
        names = sorted(set(before) | set(after))
        changed = {
            name: after.get(name)
            for name in names
            if before.get(name) != after.get(name)
        }
        if changed:
            changes[section] = changed
    return changes


def apply_changes(document: dict, changes: dict) -> dict:
    """Returns the document with the changes of `diff_documents` applied.

    >>> apply_changes({"a": {"x": 1}}, {"a": {"x": None, "z": 3}})
    {'a': {'z': 3}}
    """
    merged = {name: dict(items) for name, items in document.items()}
    for section, changed in changes.items():
        items = merged.setdefault(section, {})
        for name, value in changed.items():
            if value is None:
                items.pop(name, None)
            else:
                items[name] = value
    return {name: items for name, items in merged.items() if items}


@attrs.define
class ConfigurationFollower:
    """Takes newer configurations in and gives them to entries behind."""

    view: messages.ConfigurationView = messages.ConfigurationView(0, {})
    stale_messages: int = 0
    _deltas: collections.deque[messages.ConfigurationDelta] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DELTAS)
    )
    _pull_until: datetime.timedelta = datetime.timedelta(0)

    @property
    def version(self) -> int:
        """Returns the version in force here."""
        return self.view.version

    def offer(self, view: messages.ConfigurationView) -> bool:
        """Takes a configuration in if it is newer; returns whether."""
        if view.version <= self.view.version:
            self.stale_messages += view.version < self.view.version
            return False
        changes = diff_documents(self.view.document, view.document)
        self._deltas.append(
            messages.ConfigurationDelta(
                self.view.version, view.version, changes
            )
        )
        self.view = view
        self._pull_until = datetime.timedelta(0)
        return True

    def offer_delta(self, delta: messages.ConfigurationDelta) -> bool:
        """Takes changes in that start at the version in force here."""
        if delta.base_version != self.view.version:
            self.stale_messages += 1
            return False
        document = apply_changes(self.view.document, delta.changes)
        return self.offer(messages.ConfigurationView(delta.version, document))

    def pull(
        self, version: int, now: datetime.timedelta
    ) -> messages.ConfigurationPull | None:
        """Returns the question to a peer that says it has `version`.

        None while it is not newer or an earlier question is open.
        """
        if version <= self.view.version or now < self._pull_until:
            return None
        self._pull_until = now + PULL_TIMEOUT
        return messages.ConfigurationPull(self.view.version)

    def answer(
        self, pull: messages.ConfigurationPull
    ) -> messages.ConfigurationDelta | messages.ConfigurationView | None:
        """Returns what an entry at an older version lacks."""
        if pull.version >= self.view.version:
            return None
        changes: dict = {}
        found = False
        for delta in self._deltas:
            found = found or delta.base_version == pull.version
            if found:
                for section, changed in delta.changes.items():
                    changes.setdefault(section, {}).update(changed)
        if not found:
            return self.view
        return messages.ConfigurationDelta(
            pull.version, self.view.version, changes
        )
