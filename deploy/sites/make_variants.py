#!/usr/bin/env python3
"""Makes two deployments of our own out of sites of the kit, by the changes written below.

    deploy/sites/make_variants.py KIT

KIT is the kit's folder. Each variant becomes a folder beside this script, with the site file and the files that the
bench wants beside it. What is made holds the kit's text and is not committed (.gitignore). Ends with status 1 and one
line where the kit is missing or a change no longer fits the site that it is for.
"""

import pathlib
import re
import shutil
import sys
from typing import NamedTuple

BESIDE = ("real.json", "wire.json", "unlock.txt")


class Change(NamedTuple):
    section: str  # the table's head, as in the site file: "[net]", "[[class]]"
    at: int  # which of the tables with this head, from 0
    key: str
    old: str
    new: str


class Variant(NamedTuple):
    name: str
    source: str  # below KIT
    changes: list


def of_table(section, at, **values):
    return [Change(section, at, key, old, new) for key, (old, new) in values.items()]


# Two zones instead of halls, one class whose repeats are dropped for a while and one that may run once, short waits,
# two attempts at most, a short grace, crossings that cost next to nothing.
QUAY = Variant(
    "quay-tickets",
    "sites/gsba-model-serve.toml",
    of_table("", 0, name=('"gsba-model-serve"', '"quay-tickets"'))
    + of_table("[net]", 0, zones=('["ahmedabad-hall", "gandhinagar-hall"]', '["north-quay", "south-quay"]'))
    + of_table("[allow]", 0, max_attempts=("3", "2"), second_copies=("true", "false"), retry_after=("true", "false"))
    + of_table("[rules]", 0, drain_grace_ms=("2000", "600"))
    + of_table("[prices]", 0, cross_zone=("0.1", "0.01"), waste=("0.25", "0.1"), late_fail=("0.05", "0.12"))
    + of_table("[tier.conn]", 0, idle_s=("5", "3"), connect_timeout_ms=("150", "100"))
    + of_table("[[class]]", 0, name=('"rules-help"', '"seat-hold"'), deadline_ms=("5000", "3500"), worth=("5", "2"),
               share=("[0.45, 0.67]", "[0.3, 0.4]"), late_worth=("0", "0.3"), effect=('"safe"', '"keyed"'))
    + of_table("[[class]]", 1, name=('"run-digest"', '"payment-note"'), deadline_ms=("10000", "6000"),
               worth=("1", "4"), share=("[0.35, 0.53]", "[0.6, 0.7]"), aim_ms=("3000", "2000"), effect=('"safe"', '"unsafe"'))
    + of_table("[[tenant]]", 0, name=('"surat-retro"', '"ferry-north"'), share=("0.48", "0.3"))
    + of_table("[[tenant]]", 1, name=('"vadodara-platformers"', '"ferry-south"'), share=("0.24", "0.3"))
    + of_table("[[tenant]]", 2, name=('"rajkot-racing"', '"islands"'), share=("0.2", "0.3"))
    + of_table("[[tenant]]", 3, name=('"bhavnagar-puzzle"', '"harbour-office"'), share=("0.08", "0.1")),
)

# Four attempts, a longer grace, longer waits, dear crossings, replicas that stay cold for less time.
ALPINE = Variant(
    "alpine-forecast",
    "more/mass/other/lisboa-assist.toml",
    of_table("", 0, name=('"lisboa-assist"', '"alpine-forecast"'))
    + of_table("[net]", 0, zones=('["lis-1", "lis-2", "lis-3"]', '["valley", "pass", "summit"]'))
    + of_table("[allow]", 0, max_attempts=("3", "4"), cpu_ms_per_s=("8", "40"), cpu_us_per_request=("10", "60"))
    + of_table("[rules]", 0, drain_grace_ms=("250", "1200"), fall_multiple=("3", "2.5"), fall_ms=("1500", "2500"))
    + of_table("[prices]", 0, cross_zone=("0.08", "0.2"), waste=("0.2", "0.05"))
    + of_table("[tier.conn]", 0, idle_s=("10", "20"), connect_timeout_ms=("100", "250"))
    + of_table("[[class]]", 0, name=('"docs"', '"warning"'), deadline_ms=("4000", "3000"), worth=("3", "6"),
               late_worth=("0.2", "0"), share=("[0.54, 0.82]", "[0.35, 0.5]"))
    + of_table("[[class]]", 1, name=('"bulk"', '"outlook"'), deadline_ms=("12000", "9000"), worth=("9", "2"),
               share=("[0.26, 0.38]", "[0.5, 0.65]")),
)


def fail(why):
    sys.exit(f"make_variants: {why}")


def heads(lines):
    """Which table each line stands in: its head and which of that name it is."""
    seen, head = {}, ("", 0)
    out = []
    for line in lines:
        match = re.match(r"^(\[\[?[\w.]+\]\]?)\s*$", line)
        if match:
            name = match.group(1)
            head = (name, seen.get(name, 0))
            seen[name] = head[1] + 1
        out.append(head)
    return out


def apply(lines, change, where):
    table = heads(lines)
    for i, line in enumerate(lines):
        if table[i] != (change.section, change.at) or not re.match(rf"^{change.key}\s*=", line):
            continue
        if line != f"{change.key} = {change.old}":
            fail(f"{where}: {change.section} {change.key} is no longer {change.old}: {line}")
        lines[i] = f"{change.key} = {change.new}"
        return
    fail(f"{where}: {change.section} number {change.at} has no {change.key}")


def make(kit, variant, into):
    source = kit / variant.source
    if not source.is_file():
        fail(f"{source} is missing")
    lines = source.read_text().split("\n")
    for change in variant.changes:
        apply(lines, change, source)
    folder = into / variant.name
    folder.mkdir(exist_ok=True)
    (folder / f"{variant.name}.toml").write_text("\n".join(lines))
    for name in BESIDE:
        if not (source.parent / name).is_file():
            fail(f"{source.parent / name} is missing")
        shutil.copyfile(source.parent / name, folder / name)
    print(folder / f"{variant.name}.toml")


def main():
    if len(sys.argv) != 2:
        fail("usage: make_variants.py KIT")
    for variant in (QUAY, ALPINE):
        make(pathlib.Path(sys.argv[1]), variant, pathlib.Path(__file__).resolve().parent)


if __name__ == "__main__":
    main()
