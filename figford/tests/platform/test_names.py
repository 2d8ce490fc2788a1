"""The platform's names may occur only in the adapter and in tests."""

import pathlib
import re

import figford

ROOT = pathlib.Path(figford.__file__).parent
_HEADERS = (
    "Attempt|Deadline|Expect|Tenant|Model|Token-Usage|Prompt|Request-Urgency"
    "|Response|Server|Not-Executed|Weight|Length|Instance"
)
WIRE_NAMES = re.compile(
    rf"(Figford|figford)-({_HEADERS}|{_HEADERS.lower()})\b"
    r"|/figford/(instances|config|order|report|ready)"
    r"|heartbeat_addr|cold_remaining_ms|path_prefix|traffic_split"
    r"|FIGFORD_NODE_FILE|[xX]-[aA][pP][iI]-[kK]ey|[aA]t-[sS]erver"
)


def test_wire_names_occur_only_in_the_adapter() -> None:
    occurrences = []
    for file in sorted(ROOT.rglob("*.py")):
        relative_path = file.relative_to(ROOT)
        if relative_path.parts[0] in ("platform", "tests"):
            continue
        for number, line in enumerate(file.read_text().splitlines(), 1):
            if WIRE_NAMES.search(line):
                occurrences.append(f"{relative_path}:{number}: {line.strip()}")
    assert occurrences == []
