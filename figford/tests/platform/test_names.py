"""The platform's names stand in its folder and nowhere else."""

import pathlib
import re

import figford

ROOT = pathlib.Path(figford.__file__).parent
_HEADERS = (
    "Attempt|Deadline|Expect|Tenant|Model|Token-Usage|Prompt|Request-Urgency"
    "|Response|Server|Not-Executed|Weight|Length|Instance"
)
WIRE = re.compile(
    rf"(Figford|figford)-({_HEADERS}|{_HEADERS.lower()})\b"
    r"|/figford/(instances|config|order|report|ready)"
    r"|heartbeat_addr|cold_remaining_ms|path_prefix|traffic_split"
    r"|FIGFORD_NODE_FILE|[xX]-[aA][pP][iI]-[kK]ey|[aA]t-[sS]erver"
)


def test_no_name_of_the_wire_stands_outside_the_adapter() -> None:
    found = []
    for file in sorted(ROOT.rglob("*.py")):
        place = file.relative_to(ROOT)
        if place.parts[0] in ("platform", "tests"):
            continue
        for number, line in enumerate(file.read_text().splitlines(), 1):
            if WIRE.search(line):
                found.append(f"{place}:{number}: {line.strip()}")
    assert found == []
