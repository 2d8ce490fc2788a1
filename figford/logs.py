"""Structured, rate-limited log lines on non-blocking standard output."""

import collections
import datetime
import json
import os
import time
import typing

import attrs
import logbook

# Lines per second of one event. Further ones are suppressed; the next line
# of the event reports their count.
LINES_PER_EVENT = 60
STDOUT = 1


@attrs.define
class _Quota:
    second: int = 0
    lines: int = 0
    suppressed: int = 0


class JsonHandler(logbook.Handler):
    """Writes one JSON object per line; drops lines rather than block."""

    def __init__(self, instance: str, level: str = "INFO") -> None:
        """Makes standard output non-blocking."""
        super().__init__(level=logbook.lookup_level(level))
        self._instance = instance
        self._quota_by_event: dict[str, _Quota] = collections.defaultdict(
            _Quota
        )
        self._dropped_lines = 0
        self._partial_line = b""
        os.set_blocking(STDOUT, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record unless its event exceeds its rate limit."""
        quota = self._quota_by_event[record.msg]
        second = int(time.monotonic())
        if quota.second != second:
            quota.second = second
            quota.lines = 0
        quota.lines += 1
        if quota.lines > LINES_PER_EVENT:
            quota.suppressed += 1
            return
        line: dict[str, typing.Any] = {
            "at": round(time.time(), 3),
            "instance": self._instance,
            "level": record.level_name.lower(),
            "module": record.channel,
            "event": record.msg,
        }
        line.update(record.kwargs or {})
        if record.exc_info:
            line["error"] = record.formatted_exception
        if quota.suppressed:
            line["left_out"], quota.suppressed = quota.suppressed, 0
        if self._dropped_lines:
            line["unwritten"], self._dropped_lines = self._dropped_lines, 0
        self._write(json.dumps(line, default=_json_default).encode() + b"\n")

    def _write(self, data: bytes) -> None:
        data = self._partial_line + data
        try:
            written = os.write(STDOUT, data)
            self._partial_line = data[written:]
        except BlockingIOError:
            # The reader is too slow; drops the whole line and counts it.
            self._dropped_lines += 1


def _json_default(value: object) -> object:
    if isinstance(value, datetime.timedelta):
        return round(value.total_seconds(), 4)
    return str(value)


def milliseconds(duration: datetime.timedelta) -> float:
    """Returns a duration in milliseconds, for a log line."""
    return round(duration.total_seconds() * 1000, 1)
