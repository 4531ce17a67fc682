#!/usr/bin/env python3
"""Prints a bundle of the target's size: 4,500 organisations and 7 models.

    scripts/large_bundle.py > large.yaml
"""

import hashlib

ORGANISATIONS = 4_500
MODELS = 7

print('version: "2026.12.2"\nmodels:')
for model in range(MODELS):
    print(
        f'  - {{name: m{model}, version: "1", input_micros: 2, output_micros: 6, '
        f'context_tokens: 160000, endpoints: ["m{model}-*"]}}'
    )
print("agents:\n  - name: planner\n    models: [m0]")
print("    budget: {tokens: 1, calls: 1, millis: 1, micros: 1}")
print("    idle_ms: 1\n    max_turns: 78\norganisations:")
for organisation in range(ORGANISATIONS):
    digest = hashlib.sha256(str(organisation).encode()).hexdigest()
    print(f'  - name: organisation-{organisation}\n    key_digest: "{digest}"')
    print("    share: 1\n    agents: [planner]")
