#!/usr/bin/env python3
"""Lists the plays in journal/ that fell short, also if they kept every rule.

    scripts/short_days.py [JOURNAL ENTRY ...]

Without arguments, all entries are read.
"""
import json
import sys
from pathlib import Path

JOURNAL = Path(__file__).resolve().parent.parent / "journal"

entries = [Path(name) for name in sys.argv[1:]] or sorted(JOURNAL.glob("*.json"))
for entry in entries:
    play = json.loads(entry.read_text())
    for day in play.get("days") or []:
        if day.get("gate") is not False and not day.get("short"):
            continue
        zones = [zone for zone in day.get("by_zone") or [] if zone is not None]
        print(f"{entry.name}: {day.get('site') or play.get('site')}, {day['name']}:",
              f"earned {day['parts'][0][2]}, worst zone {min(zones, default=None)}")
        for reason in day.get("short") or []:
            print(f"    {reason}")
        for rule, count in (day.get("rules") or {}).items():
            print(f"    {rule}: {count}")
