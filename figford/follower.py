"""The configuration in force at one entry; its version never decreases."""

import collections
import datetime

import attrs

from figford import messages

# Number of deltas kept to update entries that have older versions.
MAX_DELTAS = 500
PULL_TIMEOUT = datetime.timedelta(seconds=1)


def diff_documents(old: dict, new: dict) -> dict:
    """Returns the changed items of each section; None marks a removal.

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
    """Adopts newer configurations and answers pulls of stale entries."""

    view: messages.ConfigurationView = messages.ConfigurationView(0, {})
    stale_messages: int = 0
    _deltas: collections.deque[messages.ConfigurationDelta] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DELTAS)
    )
    _next_pull_at: datetime.timedelta = datetime.timedelta(0)

    @property
    def version(self) -> int:
        """Returns the version in force at this entry."""
        return self.view.version

    def offer(self, view: messages.ConfigurationView) -> bool:
        """Adopts a configuration if it is newer; returns whether it is."""
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
        self._next_pull_at = datetime.timedelta(0)
        return True

    def offer_delta(self, delta: messages.ConfigurationDelta) -> bool:
        """Applies changes if they are based on the version in force."""
        if delta.base_version != self.view.version:
            self.stale_messages += 1
            return False
        document = apply_changes(self.view.document, delta.changes)
        return self.offer(messages.ConfigurationView(delta.version, document))

    def pull(
        self, version: int, now: datetime.timedelta
    ) -> messages.ConfigurationPull | None:
        """Returns a pull request for a peer that reports `version`.

        Returns None if that is not newer or an earlier pull is pending.
        """
        if version <= self.view.version or now < self._next_pull_at:
            return None
        self._next_pull_at = now + PULL_TIMEOUT
        return messages.ConfigurationPull(self.view.version)

    def answer(
        self, pull: messages.ConfigurationPull
    ) -> messages.ConfigurationDelta | messages.ConfigurationView | None:
        """Returns the changes since the version of a pull request.

        Returns the whole configuration if that version is too old, and
        None if it is not older.
        """
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
